//! Parses messages of a queue into requests for the core. `cedarpulley_amqp::meaning` interprets properties and
//! headers; here names are resolved.

use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_amqp::meaning::Misunderstood;
use cedarpulley_amqp::{Message, meaning};
use cedarpulley_router::{Delivery, Payload, Session, Taken};

use crate::context::GatewayContext;

/// Parses a message; the request's body is still empty, so that the message's bytes are not copied.
pub(crate) fn parse(
    message: &Message,
    delivery: Delivery,
    context: &GatewayContext,
    max_body_bytes: u64,
) -> Result<Taken, Misunderstood> {
    if message.oversized {
        return Err(Misunderstood {
            field: "body",
            cause: format!("larger than {max_body_bytes} bytes"),
        });
    }
    let invocation = meaning::read(message, context.clock.wall())?;
    let trigger = context
        .names
        .trigger(&invocation.kind)
        .ok_or_else(|| unknown("type", &invocation.kind))?;
    let account = context
        .names
        .account(invocation.account.as_deref())
        .ok_or_else(|| unknown("app-id", invocation.account.as_deref().unwrap_or("")))?;
    let identity: Option<Arc<str>> = invocation.identity.map(Arc::from);
    Ok(Taken {
        delivery,
        mark: identity.clone(),
        identity,
        redelivered: message.redelivered,
        repeat: invocation.repeat,
        trigger,
        account,
        function: Arc::from(invocation.function),
        token: invocation.token.map(Arc::from),
        waited: invocation.waited_us,
        client_timeout: invocation.client_timeout_us.unwrap_or(Micros::MAX / 8),
        cost_hint: invocation.cost_hint_us,
        load_hint: invocation.load_hint_us,
        copy_mb: invocation.copy_mb,
        lanes: invocation.lanes,
        session: invocation.session.map(|(id, start, end)| Session {
            id: Arc::from(id),
            start,
            end,
        }),
        named: None,
        prefers: None,
        refused: None,
        body: Payload {
            bytes: Bytes::new(),
            first: invocation.first_part,
        },
    })
}

fn unknown(field: &'static str, name: &str) -> Misunderstood {
    Misunderstood {
        field,
        cause: format!("'{name}' is unknown"),
    }
}
