//! TLS on sockets with rustls: certificates are read from files, and replaced at run time without affecting
//! established connections. `cedarpulley_certificates` decides what may be served; here files are read and
//! handshakes made.

use std::cell::RefCell;
use std::fs::File;
use std::io::{self, Read as _};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Timer;
use cedarpulley::interface::Micros;
use cedarpulley_certificates::{
    self as certificates, CertificateFile, CertificateReloader, FileRole, MAX_FILE_BYTES,
    RejectedFile, ReloadStep, ServedCertificate,
};
use cedarpulley_net::{Clock, Stream, duration_from_micros};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use futures_rustls::rustls::pki_types::ServerName;
use futures_rustls::rustls::server::WebPkiClientVerifier;
use futures_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig, crypto::ring};
use futures_rustls::{TlsAcceptor, TlsConnector, client, server};

/// Time limit for a handshake, in microseconds.
const HANDSHAKE_TIMEOUT: Micros = 10_000_000;
/// How often files are checked: certificates change by the week, but whoever changes one waits for it.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// How often an expiring certificate is logged, in microseconds.
const EXPIRY_WARNING_INTERVAL: Micros = 3_600_000_000;

/// The certificate files of one listener.
#[derive(Clone, Debug)]
pub struct TlsFiles {
    /// The certificate chain, in PEM.
    pub certificate: PathBuf,
    /// The private key, in PEM.
    pub key: PathBuf,
    /// Certificate authorities for clients; if given, a client has to present a certificate.
    pub clients: Option<PathBuf>,
    /// The protocol that is negotiated (ALPN).
    pub alpn: &'static [u8],
}

/// Client configuration for the connection to a broker.
#[derive(Clone, Debug)]
pub struct ClientTls {
    /// Trusted authorities, and our own certificate.
    pub config: Arc<ClientConfig>,
    /// The name that the broker's certificate has to be for.
    pub name: ServerName<'static>,
}

/// Reads a certificate or key with its file mode; fails if it is too large.
pub fn read_file(path: &Path) -> io::Result<CertificateFile> {
    let file = File::open(path)?;
    let metadata = file.metadata()?;
    if metadata.len() > MAX_FILE_BYTES {
        return Err(io::Error::other("is too large for a certificate"));
    }
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES).read_to_end(&mut bytes)?;
    Ok(CertificateFile {
        bytes,
        mode: metadata.permissions().mode(),
    })
}

fn refused(role: FileRole, cause: impl std::fmt::Display) -> RejectedFile {
    RejectedFile {
        role,
        cause: cause.to_string(),
    }
}

fn authorities(bytes: &[u8]) -> Result<RootCertStore, RejectedFile> {
    let mut roots = RootCertStore::empty();
    for authority in certificates::parse_chain(FileRole::Clients, bytes)? {
        roots
            .add(authority)
            .map_err(|_| refused(FileRole::Clients, "is no authority's certificate"))?;
    }
    Ok(roots)
}

fn server_config(
    served: ServedCertificate,
    clients: Option<&[u8]>,
    alpn: &[u8],
) -> Result<Arc<ServerConfig>, RejectedFile> {
    let provider = Arc::new(ring::default_provider());
    let builder = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .map_err(|error| refused(FileRole::Certificate, error))?;
    let builder = match clients {
        None => builder.with_no_client_auth(),
        Some(bytes) => {
            let verifier = WebPkiClientVerifier::builder_with_provider(
                Arc::new(authorities(bytes)?),
                provider,
            )
            .build();
            builder.with_client_cert_verifier(
                verifier.map_err(|error| refused(FileRole::Clients, error))?,
            )
        }
    };
    let mut config = builder
        .with_single_cert(served.chain, served.key)
        .map_err(|error| refused(FileRole::Key, error))?;
    config.alpn_protocols = vec![alpn.to_vec()];
    Ok(Arc::new(config))
}

/// Server configuration of one listener.
pub struct ServerTls {
    files: TlsFiles,
    keeper: RefCell<CertificateReloader>,
    clients: RefCell<Option<Vec<u8>>>,
    acceptor: RefCell<TlsAcceptor>,
}

impl std::fmt::Debug for ServerTls {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "TLS by {}", self.files.certificate.display())
    }
}

impl ServerTls {
    /// Reads and validates the files at `wall`, in microseconds since 1970.
    pub fn open(files: TlsFiles, wall: Micros) -> Result<Rc<ServerTls>, RejectedFile> {
        let certificate =
            read_file(&files.certificate).map_err(|error| refused(FileRole::Certificate, error))?;
        let key = read_file(&files.key).map_err(|error| refused(FileRole::Key, error))?;
        let clients = match &files.clients {
            Some(path) => Some(
                read_file(path)
                    .map_err(|error| refused(FileRole::Clients, error))?
                    .bytes,
            ),
            None => None,
        };
        let served = certificates::validate(&certificate, &key, wall)?;
        let ends = served.expires_at;
        let config = server_config(served, clients.as_deref(), files.alpn)?;
        Ok(Rc::new(ServerTls {
            files,
            keeper: RefCell::new(CertificateReloader::new(certificate, key, ends)),
            clients: RefCell::new(clients),
            acceptor: RefCell::new(config.into()),
        }))
    }

    /// Clients have to present a certificate.
    pub fn requires_client_certificate(&self) -> bool {
        self.files.clients.is_some()
    }

    /// Performs a handshake within its time limit.
    pub async fn accept(&self, stream: Stream) -> io::Result<server::TlsStream<Stream>> {
        let acceptor = self.acceptor.borrow().clone();
        let timeout = async {
            Timer::after(duration_from_micros(HANDSHAKE_TIMEOUT)).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        acceptor.accept(stream).or(timeout).await
    }

    /// Checks the files until the router ends. Established connections keep the certificate they were made
    /// with.
    pub async fn watch(self: Rc<Self>, clock: Clock, front: String) {
        let mut last_warned = Micros::MIN;
        loop {
            Timer::after(POLL_INTERVAL).await;
            let wall = clock.wall_time();
            let pair = self.read_pair().await;
            let step = self.keeper.borrow_mut().on_files_read(wall, pair.ok());
            match step {
                ReloadStep::Keep | ReloadStep::ReadAgain => {}
                ReloadStep::Reject(refused) => log_refused(&front, &refused),
                ReloadStep::Replace(served) => match self.replace(served) {
                    Ok(()) => tracing::info!(front, "the certificate was replaced"),
                    Err(refused) => log_refused(&front, &refused),
                },
            }
            let expires_in = self.keeper.borrow().time_left_if_expiring(wall);
            let is_due = clock.now().saturating_sub(last_warned) > EXPIRY_WARNING_INTERVAL;
            if let Some(expires_in) = expires_in.filter(|_| is_due) {
                last_warned = clock.now();
                tracing::warn!(
                    front,
                    hours = expires_in / 3_600_000_000,
                    "the certificate expires soon"
                );
            }
        }
    }

    /// Reads certificate and key on another thread: a disk that hangs must not block the router's one thread.
    async fn read_pair(&self) -> io::Result<(CertificateFile, CertificateFile)> {
        let TlsFiles {
            certificate, key, ..
        } = self.files.clone();
        smol::unblock(move || Ok((read_file(&certificate)?, read_file(&key)?))).await
    }

    /// Uses another certificate from now on.
    fn replace(&self, served: ServedCertificate) -> Result<(), RejectedFile> {
        let config = server_config(served, self.clients.borrow().as_deref(), self.files.alpn)?;
        *self.acceptor.borrow_mut() = config.into();
        Ok(())
    }
}

fn log_refused(front: &str, refused: &RejectedFile) {
    tracing::error!(front, file = ?refused.role, cause = refused.cause, "the certificate was not replaced; the previous one stays in use");
}

/// For a broker: the trusted authorities, and our own certificate and key if the broker requires one.
pub fn client_tls(
    roots: &Path,
    own: Option<(&Path, &Path)>,
    name: &str,
    wall: Micros,
) -> Result<ClientTls, RejectedFile> {
    let clients = read_file(roots).map_err(|error| refused(FileRole::Clients, error))?;
    let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .map_err(|error| refused(FileRole::Clients, error))?
        .with_root_certificates(authorities(&clients.bytes)?);
    let config = match own {
        None => builder.with_no_client_auth(),
        Some((certificate, key)) => {
            let certificate =
                read_file(certificate).map_err(|error| refused(FileRole::Certificate, error))?;
            let key = read_file(key).map_err(|error| refused(FileRole::Key, error))?;
            let served = certificates::validate(&certificate, &key, wall)?;
            builder
                .with_client_auth_cert(served.chain, served.key)
                .map_err(|error| refused(FileRole::Key, error))?
        }
    };
    let name = ServerName::try_from(name.to_owned())
        .map_err(|_| refused(FileRole::Clients, format!("'{name}' is no server's name")))?;
    Ok(ClientTls {
        config: Arc::new(config),
        name,
    })
}

/// A connection to a broker, with or without TLS.
pub enum BrokerStream {
    /// Without TLS.
    Plain(Stream),
    /// With TLS.
    Tls(Box<client::TlsStream<Stream>>),
}

impl BrokerStream {
    /// Performs a handshake within its time limit, if TLS is configured.
    pub async fn connect(stream: Stream, tls: Option<&ClientTls>) -> io::Result<BrokerStream> {
        let Some(tls) = tls else {
            return Ok(BrokerStream::Plain(stream));
        };
        let connector = TlsConnector::from(tls.config.clone());
        let timeout = async {
            Timer::after(duration_from_micros(HANDSHAKE_TIMEOUT)).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = connector
            .connect(tls.name.clone(), stream)
            .or(timeout)
            .await?;
        Ok(BrokerStream::Tls(Box::new(stream)))
    }
}

/// Applies an expression to the stream in either variant.
macro_rules! with_stream {
    ($broker:expr, $stream:pat => $call:expr) => {
        match $broker.get_mut() {
            BrokerStream::Plain($stream) => $call,
            BrokerStream::Tls($stream) => $call,
        }
    };
}

impl AsyncRead for BrokerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        with_stream!(self, stream => Pin::new(stream).poll_read(cx, buf))
    }
}

impl AsyncWrite for BrokerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        with_stream!(self, stream => Pin::new(stream).poll_write(cx, buf))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        with_stream!(self, stream => Pin::new(stream).poll_flush(cx))
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        with_stream!(self, stream => Pin::new(stream).poll_close(cx))
    }
}
