//! Parses messages of a queue into requests for the core. `cedarpulley_amqp::trigger` interprets properties and
//! headers; this module resolves the names in them.

use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_amqp::trigger::InvalidField;
use cedarpulley_amqp::{Message, trigger};
use cedarpulley_router::{Delivery, IncomingInvocation, Payload, Session};

use crate::context::GatewayContext;

/// Parses a message. The body of the returned request is empty; the caller moves the message's body into it without a
/// copy.
pub(crate) fn parse(
    message: &Message,
    delivery: Delivery,
    context: &GatewayContext,
    max_body_bytes: u64,
) -> Result<IncomingInvocation, InvalidField> {
    if message.oversized {
        return Err(InvalidField {
            field: "body",
            cause: format!("larger than {max_body_bytes} bytes"),
        });
    }
    let invocation = trigger::parse(message, context.clock.wall_time())?;
    let trigger = context
        .names
        .trigger_index(&invocation.trigger_type)
        .ok_or_else(|| unknown("type", &invocation.trigger_type))?;
    let account = context
        .names
        .account_index(invocation.account.as_deref())
        .ok_or_else(|| unknown("app-id", invocation.account.as_deref().unwrap_or("")))?;
    let identity: Option<Arc<str>> = invocation.identity.map(Arc::from);
    Ok(IncomingInvocation {
        delivery,
        name: identity.clone(),
        identity,
        redelivered: message.redelivered,
        client_retry: invocation.client_retry,
        trigger,
        account,
        function: Arc::from(invocation.function),
        idempotency_key: invocation.idempotency_key.map(Arc::from),
        waited: invocation.waited_us,
        client_timeout: invocation.client_timeout_us.unwrap_or(Micros::MAX / 8),
        cost_hint: invocation.cost_hint_us,
        load_hint: invocation.load_hint_us,
        copy_mb: invocation.copy_mb,
        lanes: invocation.lanes,
        session: invocation.session.map(|(id, is_first, is_last)| Session {
            id: Arc::from(id),
            is_first,
            is_last,
        }),
        requested_function: None,
        preferred_worker: None,
        predetermined_answer: None,
        body: Payload {
            bytes: Bytes::new(),
            first_part_length: invocation.first_part_length,
        },
    })
}

fn unknown(field: &'static str, name: &str) -> InvalidField {
    InvalidField {
        field,
        cause: format!("'{name}' is unknown"),
    }
}
