use crate::calls::{Calls, Line};
use crate::net::Bell;
use crate::serve::Gateway;
use futures_lite::{AsyncRead, AsyncWrite};
use std::rc::Rc;
pub(crate) async fn serve(
    _calls: Rc<Calls>,
    _gateway: Rc<Gateway>,
    _line: Rc<Line>,
    _stream: impl AsyncRead + AsyncWrite + Unpin,
    _stop: Bell,
) {
}
