//! The stages of a connection, and the requests that set up a consumer on its channel.

use amq_protocol::protocol::basic::AMQPMethod as Basic;
use amq_protocol::protocol::{AMQPClass, channel, queue, tx};

use super::{Role, methods};
use crate::ProtocolError;

/// The stage of a connection. The names of the variants appear in error messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    AwaitStart,
    AwaitTune,
    AwaitOpen,
    AwaitChannel,
    AwaitSelect,
    AwaitDeclare,
    AwaitQos,
    AwaitConsume,
    /// The channel is open, with its consumer set up.
    Ready,
    /// The broker closed the channel; the owner decides when to open it again.
    NoChannel,
    Closing,
    Closed,
}

/// Returns the next request after a reply on the channel, and the stage that awaits the reply to that request. The
/// order is select, qos, consume as a responder, and declare, consume as a requester.
pub(super) fn next_step(
    stage: Stage,
    reply: &AMQPClass,
    role: &Role,
    prefetch: u16,
) -> Result<(AMQPClass, Stage), ProtocolError> {
    Ok(match (stage, reply, role) {
        (
            Stage::AwaitChannel,
            AMQPClass::Channel(channel::AMQPMethod::OpenOk(_)),
            Role::Responder { .. },
        ) => (methods::select(), Stage::AwaitSelect),
        (
            Stage::AwaitChannel,
            AMQPClass::Channel(channel::AMQPMethod::OpenOk(_)),
            Role::Requester { reply_queue },
        ) => (methods::declare(reply_queue), Stage::AwaitDeclare),
        (Stage::AwaitSelect, AMQPClass::Tx(tx::AMQPMethod::SelectOk(_)), _) => {
            (methods::qos(prefetch), Stage::AwaitQos)
        }
        (Stage::AwaitQos, AMQPClass::Basic(Basic::QosOk(_)), Role::Responder { queue, .. }) => {
            (methods::consume(queue, false), Stage::AwaitConsume)
        }
        (
            Stage::AwaitDeclare,
            AMQPClass::Queue(queue::AMQPMethod::DeclareOk(_)),
            Role::Requester { reply_queue },
        ) => (methods::consume(reply_queue, true), Stage::AwaitConsume),
        (stage, method, _) => {
            let (class, id) = (method.get_amqp_class_id(), method.get_amqp_method_id());
            let description = format!("method {class}.{id} while {stage:?}");
            return Err(ProtocolError::unexpected(description));
        }
    })
}
