//! Follows the command channel: asks again and again for what came after the last event, and connects anew
//! after a break, a silence or a move.

use std::rc::Rc;

use async_io::Timer;
use cedarpulley_errors::Remedy;
use cedarpulley_net::{Stream, connect, micros};
use cedarpulley_platform::channel::{ANSWER_LATE, ASKED_WAIT, Answers, Batch, LONGEST_PAUSE, Unread};
use cedarpulley_router::backoff::Backoff;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use thiserror::Error;

use crate::node::Node;

/// Pieces in which an answer is read.
const PIECE: usize = 4 << 10;

/// Why it is connected to anew.
#[derive(Debug, Error)]
pub enum Broken {
    #[error("the command channel's connection failed")]
    System(#[from] std::io::Error),
    #[error("the command channel gave no answer in time")]
    Late,
    #[error("the command channel closed its connection")]
    Closed,
    #[error(transparent)]
    Answer(#[from] Unread),
}

impl Remedy for Broken {
    fn remedy(&self) -> &'static str {
        match self {
            Broken::Answer(unread) => unread.remedy(),
            _ => "nothing, if it comes now and then; else see that the channel runs and is reached",
        }
    }
}

pub async fn follow(node: Rc<Node>, seed: u64) {
    let mut backoff = Backoff::up_to(seed, LONGEST_PAUSE);
    loop {
        let began = node.clock.now();
        let broken = async {
            if let Err(why) = ask(&node).await {
                tracing::debug!("{}", why.line());
            }
            let pause = backoff.after(node.clock.now() - began);
            Timer::after(micros(pause)).await;
        };
        // Moved: on at the new address at once.
        node.channel_moved.heard().or(broken).await;
    }
}

/// Asks on one connection for as long as it holds.
async fn ask(node: &Rc<Node>) -> Result<(), Broken> {
    let address = node.channel.get();
    let mut stream = connect(address, None, ASKED_WAIT).await?;
    let mut answers = Answers::default();
    // What the first answer tells may have come while nobody was connected; later ones are waited for.
    let mut heard_late = true;
    loop {
        let question = node.follower.borrow().ask(&address.to_string());
        stream.write_all(&question).await?;
        let late = async {
            Timer::after(micros(ASKED_WAIT + ANSWER_LATE)).await;
            Err(Broken::Late)
        };
        let batch = answer(&mut stream, &mut answers).or(late).await?;
        node.follow(&batch, heard_late)?;
        heard_late = false;
    }
}

async fn answer(stream: &mut Stream, answers: &mut Answers) -> Result<Batch, Broken> {
    let mut piece = [0; PIECE];
    loop {
        if let Some(batch) = answers.whole()? {
            return Ok(batch);
        }
        let n = stream.read(&mut piece).await?;
        if n == 0 {
            return Err(Broken::Closed);
        }
        answers.put(&piece[..n]);
    }
}
