//! TLS on sockets with rustls. Certificates are read from files, and replaced at run time without affecting
//! established connections. `cedarpulley_certificates` validates certificates; this module reads files and performs
//! handshakes.

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
use cedarpulley_net::{Clock, PeerStream, duration_from_micros};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use futures_rustls::rustls::pki_types::ServerName;
use futures_rustls::rustls::server::WebPkiClientVerifier;
use futures_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig, crypto::ring};
use futures_rustls::{TlsAcceptor, TlsConnector, client, server};

/// Time limit for a handshake, in microseconds.
const HANDSHAKE_TIMEOUT: Micros = 10_000_000;
/// Interval at which certificate files are checked. Certificates change rarely (about weekly), but an operator who
/// replaces one waits for the change to take effect.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between warnings about an expiring certificate, in microseconds.
const EXPIRY_WARNING_INTERVAL: Micros = 3_600_000_000;

/// The certificate files of one listener.
#[derive(Clone, Debug)]
pub struct TlsFiles {
    /// The certificate chain, in PEM.
    pub certificate: PathBuf,
    /// The private key, in PEM.
    pub key: PathBuf,
    /// Certificate authorities for client certificates; if given, each client has to present a certificate.
    pub clients: Option<PathBuf>,
    /// The protocol that is negotiated (ALPN).
    pub alpn: &'static [u8],
}

/// Client configuration for the connection to a broker.
#[derive(Clone, Debug)]
pub struct ClientTls {
    /// The trusted authorities and the router's client certificate, if it has one.
    pub config: Arc<ClientConfig>,
    /// The server name that the broker's certificate has to contain.
    pub name: ServerName<'static>,
}

/// Reads a certificate or key together with its file mode; fails if the file is too large.
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

fn rejected(role: FileRole, cause: impl std::fmt::Display) -> RejectedFile {
    RejectedFile {
        role,
        cause: cause.to_string(),
    }
}

fn authorities(bytes: &[u8]) -> Result<RootCertStore, RejectedFile> {
    let mut roots = RootCertStore::empty();
    for authority in certificates::parse_chain(FileRole::Clients, bytes)? {
        roots.add(authority).map_err(|_| {
            rejected(
                FileRole::Clients,
                "contains an invalid authority certificate",
            )
        })?;
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
        .map_err(|error| rejected(FileRole::Certificate, error))?;
    let builder = match clients {
        None => builder.with_no_client_auth(),
        Some(bytes) => {
            let verifier = WebPkiClientVerifier::builder_with_provider(
                Arc::new(authorities(bytes)?),
                provider,
            )
            .build();
            builder.with_client_cert_verifier(
                verifier.map_err(|error| rejected(FileRole::Clients, error))?,
            )
        }
    };
    let mut config = builder
        .with_single_cert(served.chain, served.key)
        .map_err(|error| rejected(FileRole::Key, error))?;
    config.alpn_protocols = vec![alpn.to_vec()];
    Ok(Arc::new(config))
}

/// Server configuration of one listener.
pub struct ServerTls {
    files: TlsFiles,
    reloader: RefCell<CertificateReloader>,
    clients: RefCell<Option<Vec<u8>>>,
    acceptor: RefCell<TlsAcceptor>,
}

impl std::fmt::Debug for ServerTls {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "TLS by {}", self.files.certificate.display())
    }
}

impl ServerTls {
    /// Reads the files and validates them at `wall_time`, in microseconds since 1970.
    pub fn open(files: TlsFiles, wall_time: Micros) -> Result<Rc<ServerTls>, RejectedFile> {
        let certificate = read_file(&files.certificate)
            .map_err(|error| rejected(FileRole::Certificate, error))?;
        let key = read_file(&files.key).map_err(|error| rejected(FileRole::Key, error))?;
        let clients = match &files.clients {
            Some(path) => Some(
                read_file(path)
                    .map_err(|error| rejected(FileRole::Clients, error))?
                    .bytes,
            ),
            None => None,
        };
        let served = certificates::validate(&certificate, &key, wall_time)?;
        let expires_at = served.expires_at;
        let config = server_config(served, clients.as_deref(), files.alpn)?;
        Ok(Rc::new(ServerTls {
            files,
            reloader: RefCell::new(CertificateReloader::new(certificate, key, expires_at)),
            clients: RefCell::new(clients),
            acceptor: RefCell::new(config.into()),
        }))
    }

    /// Returns whether clients have to present a certificate.
    pub fn requires_client_certificate(&self) -> bool {
        self.files.clients.is_some()
    }

    /// Performs a handshake within its time limit.
    pub async fn accept(&self, stream: PeerStream) -> io::Result<server::TlsStream<PeerStream>> {
        let acceptor = self.acceptor.borrow().clone();
        let timeout = async {
            Timer::after(duration_from_micros(HANDSHAKE_TIMEOUT)).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        acceptor.accept(stream).or(timeout).await
    }

    /// Checks the certificate and key files until the router stops, and replaces the certificate when they change.
    /// Established connections keep their certificate.
    pub async fn watch(self: Rc<Self>, clock: Clock, front: String) {
        let mut last_warned = Micros::MIN;
        loop {
            Timer::after(POLL_INTERVAL).await;
            let wall_time = clock.wall_time();
            let pair = self.read_pair().await;
            let step = self
                .reloader
                .borrow_mut()
                .on_files_read(wall_time, pair.ok());
            match step {
                ReloadStep::Keep | ReloadStep::ReadAgain => {}
                ReloadStep::Reject(rejected) => log_rejected(&front, &rejected),
                ReloadStep::Replace(served) => match self.replace(served) {
                    Ok(()) => tracing::info!(front, "the certificate was replaced"),
                    Err(rejected) => log_rejected(&front, &rejected),
                },
            }
            let expires_in = self.reloader.borrow().time_left_if_expiring(wall_time);
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

    /// Reads certificate and key on another thread, as a hanging disk must not block the router's single thread.
    async fn read_pair(&self) -> io::Result<(CertificateFile, CertificateFile)> {
        let TlsFiles {
            certificate, key, ..
        } = self.files.clone();
        smol::unblock(move || Ok((read_file(&certificate)?, read_file(&key)?))).await
    }

    /// Uses another certificate for new connections.
    fn replace(&self, served: ServedCertificate) -> Result<(), RejectedFile> {
        let config = server_config(served, self.clients.borrow().as_deref(), self.files.alpn)?;
        *self.acceptor.borrow_mut() = config.into();
        Ok(())
    }
}

fn log_rejected(front: &str, rejected: &RejectedFile) {
    tracing::error!(front, file = ?rejected.role, cause = rejected.cause, "the certificate was not replaced; the previous one stays in use");
}

/// Reads the TLS configuration for connections to a broker. `roots`: file of the trusted authorities; `own`: the
/// router's certificate and key, if the broker requires a certificate; `name`: the broker's server name; `wall_time`:
/// in microseconds since 1970.
pub fn client_tls(
    roots: &Path,
    own: Option<(&Path, &Path)>,
    name: &str,
    wall_time: Micros,
) -> Result<ClientTls, RejectedFile> {
    let clients = read_file(roots).map_err(|error| rejected(FileRole::Clients, error))?;
    let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .map_err(|error| rejected(FileRole::Clients, error))?
        .with_root_certificates(authorities(&clients.bytes)?);
    let config = match own {
        None => builder.with_no_client_auth(),
        Some((certificate, key)) => {
            let certificate =
                read_file(certificate).map_err(|error| rejected(FileRole::Certificate, error))?;
            let key = read_file(key).map_err(|error| rejected(FileRole::Key, error))?;
            let served = certificates::validate(&certificate, &key, wall_time)?;
            builder
                .with_client_auth_cert(served.chain, served.key)
                .map_err(|error| rejected(FileRole::Key, error))?
        }
    };
    let name = ServerName::try_from(name.to_owned()).map_err(|_| {
        rejected(
            FileRole::Clients,
            format!("'{name}' is not a valid server name"),
        )
    })?;
    Ok(ClientTls {
        config: Arc::new(config),
        name,
    })
}

/// A connection to a broker, with or without TLS.
pub enum BrokerStream {
    /// Without TLS.
    Plain(PeerStream),
    /// With TLS.
    Tls(Box<client::TlsStream<PeerStream>>),
}

impl BrokerStream {
    /// Performs a handshake within its time limit if TLS is configured; otherwise uses the stream as is.
    pub async fn connect(stream: PeerStream, tls: Option<&ClientTls>) -> io::Result<BrokerStream> {
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

/// Evaluates an expression on the stream of either variant.
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
