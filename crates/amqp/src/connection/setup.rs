//! The steps from a new connection to a consumer on its channel.

use amq_protocol::protocol::basic::AMQPMethod as Basic;
use amq_protocol::protocol::{AMQPClass, channel, queue, tx};

use super::{Role, methods};
use crate::ProtocolError;

/// The state of the handshake. The names appear in error messages.
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
    Ready,
    /// The broker closed the channel; the owner decides when to open it again.
    NoChannel,
    Closing,
    Closed,
}

/// The request that follows a reply on the channel, and the stage that awaits its reply: select, qos and consume
/// as a responder, declare and consume as a requester.
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
            let what = format!("method {class}.{id} while {stage:?}");
            return Err(ProtocolError::unexpected(what));
        }
    })
}
