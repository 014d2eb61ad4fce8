//! Follows the discovery channel: asks again and again for what came after the last event, and connects anew after a
//! break, a silence or a move.

use std::rc::Rc;

use async_io::Timer;
use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use cedarpulley_net::{Stream, connect, micros};
use cedarpulley_platform::discovery::{
    ANSWER_LATE, ASKED_WAIT, Answers, DiscoveryError, EventBatch, LONGEST_PAUSE,
};
use cedarpulley_router::backoff::Backoff;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use thiserror::Error;

use crate::node::Node;

/// Pieces in which an answer is read.
const PIECE: usize = 4 << 10;

/// Why the channel is connected to anew.
#[derive(Debug, Error)]
pub enum ChannelError {
    #[error("the discovery channel's connection failed")]
    System(#[from] std::io::Error),
    #[error("the discovery channel gave no answer in time")]
    Late,
    #[error("the discovery channel closed its connection")]
    Closed,
    #[error(transparent)]
    Answer(#[from] DiscoveryError),
}

impl Remedy for ChannelError {
    fn remedy(&self) -> &'static str {
        match self {
            ChannelError::Answer(error) => error.remedy(),
            _ => "nothing, if it comes now and then; else see that the channel runs and is reached",
        }
    }
}

/// Follows the channel for as long as the router runs.
pub async fn follow(node: Rc<Node>, seed: u64) {
    let mut backoff = Backoff::up_to(seed, LONGEST_PAUSE);
    loop {
        let began = node.clock.now();
        let broken = async {
            if let Err(error) = ask(&node).await {
                tracing::debug!("{}", error.line());
            }
            let pause = backoff.after(node.clock.now() - began);
            Timer::after(micros(pause)).await;
        };
        // After a move it goes on at the new address at once.
        node.discovery_moved.heard().or(broken).await;
    }
}

/// Asks on one connection for as long as it holds.
async fn ask(node: &Rc<Node>) -> Result<(), ChannelError> {
    let address = node.discovery_address.get();
    let mut stream = connect(address, None, ASKED_WAIT).await?;
    let mut answers = Answers::default();
    // What the first answer tells may have come while nobody was connected; later answers are waited for.
    let mut unheard_for = Micros::MAX;
    loop {
        let question = node.worker_list.borrow().ask(&address.to_string());
        stream.write_all(&question).await?;
        let late = async {
            Timer::after(micros(ASKED_WAIT + ANSWER_LATE)).await;
            Err(ChannelError::Late)
        };
        let batch = read_answer(&mut stream, &mut answers).or(late).await?;
        node.follow(&batch, unheard_for.max(node.lag()))?;
        unheard_for = 0;
    }
}

async fn read_answer(
    stream: &mut Stream,
    answers: &mut Answers,
) -> Result<EventBatch, ChannelError> {
    let mut piece = [0; PIECE];
    loop {
        if let Some(batch) = answers.whole()? {
            return Ok(batch);
        }
        let n = stream.read(&mut piece).await?;
        if n == 0 {
            return Err(ChannelError::Closed);
        }
        answers.put(&piece[..n]);
    }
}
