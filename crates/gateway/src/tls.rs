//! TLS on sockets, by rustls alone: certificates read from files, and replaced while running without touching a
//! stream that stands. What may serve `cedarpulley_certificates` decides; here files are read and handshakes made.

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
use cedarpulley_certificates::{self as certificates, Keeper, MOST_FILE, Read, Refused, Served, Step, Which};
use cedarpulley_net::{Clock, Stream, micros};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use futures_rustls::rustls::pki_types::ServerName;
use futures_rustls::rustls::server::WebPkiClientVerifier;
use futures_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig, crypto::ring};
use futures_rustls::{TlsAcceptor, TlsConnector, client, server};

/// A handshake comes to its end within this time, or its connection is closed.
const HANDSHAKE_WITHIN: Micros = 10_000_000;
/// How often files are looked at: certificates change by the week, and who changes one waits for it.
const LOOK: Duration = Duration::from_secs(1);
/// How often it is told that a certificate ends soon.
const TELL: Micros = 3_600_000_000;

/// The files of one front.
#[derive(Clone, Debug)]
pub struct Files {
    pub certificate: PathBuf,
    pub key: PathBuf,
    /// Authorities for clients' certificates; with them a client must show one.
    pub clients: Option<PathBuf>,
    pub alpn: &'static [u8],
}

/// Towards a broker.
#[derive(Clone, Debug)]
pub struct Outward {
    pub config: Arc<ClientConfig>,
    pub name: ServerName<'static>,
}

pub fn read(path: &Path) -> io::Result<Read> {
    let file = File::open(path)?;
    let about = file.metadata()?;
    if about.len() > MOST_FILE {
        return Err(io::Error::other("is too large for a certificate"));
    }
    let mut bytes = Vec::new();
    file.take(MOST_FILE).read_to_end(&mut bytes)?;
    Ok(Read { bytes, mode: about.permissions().mode() })
}

fn unreadable(which: Which, e: &io::Error) -> Refused {
    Refused { which, cause: e.to_string() }
}

fn authorities(bytes: &[u8]) -> Result<RootCertStore, Refused> {
    let mut roots = RootCertStore::empty();
    for one in certificates::chain(Which::Clients, bytes)? {
        let cause = |_| Refused { which: Which::Clients, cause: "is no authority's certificate".into() };
        roots.add(one).map_err(cause)?;
    }
    Ok(roots)
}

fn serving(served: Served, clients: Option<&[u8]>, alpn: &[u8]) -> Result<Arc<ServerConfig>, Refused> {
    let wrong = |which| move |e: &dyn std::fmt::Display| Refused { which, cause: e.to_string() };
    let provider = Arc::new(ring::default_provider());
    let builder = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .map_err(|e| wrong(Which::Certificate)(&e))?;
    let builder = match clients {
        None => builder.with_no_client_auth(),
        Some(bytes) => {
            let verifier =
                WebPkiClientVerifier::builder_with_provider(Arc::new(authorities(bytes)?), provider).build();
            builder.with_client_cert_verifier(verifier.map_err(|e| wrong(Which::Clients)(&e))?)
        }
    };
    let mut config = builder.with_single_cert(served.chain, served.key).map_err(|e| wrong(Which::Key)(&e))?;
    config.alpn_protocols = vec![alpn.to_vec()];
    Ok(Arc::new(config))
}

/// What a listening front has for TLS.
pub struct Inward {
    files: Files,
    keeper: RefCell<Keeper>,
    clients: RefCell<Option<Vec<u8>>>,
    acceptor: RefCell<TlsAcceptor>,
}

impl std::fmt::Debug for Inward {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "TLS by {}", self.files.certificate.display())
    }
}

impl Inward {
    /// Reads and judges the files at `wall`, in microseconds since 1970.
    pub fn open(files: Files, wall: Micros) -> Result<Rc<Inward>, Refused> {
        let certificate = read(&files.certificate).map_err(|e| unreadable(Which::Certificate, &e))?;
        let key = read(&files.key).map_err(|e| unreadable(Which::Key, &e))?;
        let clients = match &files.clients {
            Some(path) => Some(read(path).map_err(|e| unreadable(Which::Clients, &e))?.bytes),
            None => None,
        };
        let served = certificates::judge(&certificate, &key, wall)?;
        let ends = served.ends;
        let config = serving(served, clients.as_deref(), files.alpn)?;
        Ok(Rc::new(Inward {
            files,
            keeper: RefCell::new(Keeper::new(certificate, key, ends)),
            clients: RefCell::new(clients),
            acceptor: RefCell::new(config.into()),
        }))
    }

    /// Clients have to show a certificate.
    pub fn asks_clients(&self) -> bool {
        self.files.clients.is_some()
    }

    pub async fn accept(&self, stream: Stream) -> io::Result<server::TlsStream<Stream>> {
        let acceptor = self.acceptor.borrow().clone();
        let late = async {
            Timer::after(micros(HANDSHAKE_WITHIN)).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        acceptor.accept(stream).or(late).await
    }

    /// Looks at the files until the router ends. Connections that stand keep what they were made with.
    pub async fn watch(self: Rc<Self>, clock: Clock, front: String) {
        let mut told = Micros::MIN;
        loop {
            Timer::after(LOOK).await;
            let wall = clock.wall();
            // A disk that hangs must not hold up the router's one thread.
            let Files { certificate, key, .. } = self.files.clone();
            let pair = smol::unblock(move || Ok::<_, io::Error>((read(&certificate)?, read(&key)?))).await;
            let step = self.keeper.borrow_mut().offered(wall, pair.ok());
            match step {
                Step::Keep | Step::LookAgain => {}
                Step::Refuse(why) => {
                    tracing::error!(front, file = ?why.which, cause = why.cause, "not replaced; the old one goes on");
                }
                Step::Replace(served) => {
                    match serving(served, self.clients.borrow().as_deref(), self.files.alpn) {
                        Ok(config) => {
                            *self.acceptor.borrow_mut() = config.into();
                            tracing::info!(front, "the certificate was replaced");
                        }
                        Err(why) => {
                            tracing::error!(front, file = ?why.which, cause = why.cause, "not replaced");
                        }
                    }
                }
            }
            let left = self.keeper.borrow().ends_soon(wall);
            if let Some(left) = left.filter(|_| clock.now().saturating_sub(told) > TELL) {
                told = clock.now();
                tracing::warn!(front, hours = left / 3_600_000_000, "the certificate ends soon");
            }
        }
    }
}

/// For a broker: whose certificates count, and our own if it wants one.
pub fn outward(
    roots: &Path,
    own: Option<(&Path, &Path)>,
    name: &str,
    wall: Micros,
) -> Result<Outward, Refused> {
    let clients = read(roots).map_err(|e| unreadable(Which::Clients, &e))?;
    let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .map_err(|e| Refused { which: Which::Clients, cause: e.to_string() })?
        .with_root_certificates(authorities(&clients.bytes)?);
    let config = match own {
        None => builder.with_no_client_auth(),
        Some((certificate, key)) => {
            let certificate = read(certificate).map_err(|e| unreadable(Which::Certificate, &e))?;
            let key = read(key).map_err(|e| unreadable(Which::Key, &e))?;
            let served = certificates::judge(&certificate, &key, wall)?;
            builder
                .with_client_auth_cert(served.chain, served.key)
                .map_err(|e| Refused { which: Which::Key, cause: e.to_string() })?
        }
    };
    let cause = |_| Refused { which: Which::Clients, cause: format!("'{name}' is no server's name") };
    Ok(Outward { config: Arc::new(config), name: ServerName::try_from(name.to_owned()).map_err(cause)? })
}

/// A broker's connection, with or without TLS.
pub enum Wire {
    Plain(Stream),
    Tls(Box<client::TlsStream<Stream>>),
}

impl Wire {
    pub async fn begin(stream: Stream, tls: Option<&Outward>) -> io::Result<Wire> {
        let Some(tls) = tls else { return Ok(Wire::Plain(stream)) };
        let connector = TlsConnector::from(tls.config.clone());
        let late = async {
            Timer::after(micros(HANDSHAKE_WITHIN)).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = connector.connect(tls.name.clone(), stream).or(late).await?;
        Ok(Wire::Tls(Box::new(stream)))
    }
}

macro_rules! either {
    ($it:expr, $of:pat => $do:expr) => {
        match $it.get_mut() {
            Wire::Plain($of) => $do,
            Wire::Tls($of) => $do,
        }
    };
}

impl AsyncRead for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        either!(self, s => Pin::new(s).poll_read(cx, buf))
    }
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        either!(self, s => Pin::new(s).poll_write(cx, buf))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        either!(self, s => Pin::new(s).poll_flush(cx))
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        either!(self, s => Pin::new(s).poll_close(cx))
    }
}
