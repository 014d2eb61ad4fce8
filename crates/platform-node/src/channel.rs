//! Follows the command channel: asks again and again for what came after the last event, and connects anew
//! after a break, a silence or a move.

use std::rc::Rc;

use anyhow::{Result, bail, ensure};
use async_io::Timer;
use cedarpulley_net::{Stream, connect, micros};
use cedarpulley_platform::channel::{ANSWER_LATE, ASKED_WAIT, Answers, Batch, LONGEST_PAUSE};
use cedarpulley_router::backoff::Backoff;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::node::Node;

/// Pieces in which an answer is read.
const PIECE: usize = 4 << 10;

pub async fn follow(node: Rc<Node>, seed: u64) {
    let mut backoff = Backoff::up_to(seed, LONGEST_PAUSE);
    loop {
        let began = node.clock.now();
        let broken = async {
            if let Err(why) = ask(&node).await {
                tracing::debug!("command channel: {why:#}");
            }
            let pause = backoff.after(node.clock.now() - began);
            Timer::after(micros(pause)).await;
        };
        // Moved: on at the new address at once.
        node.channel_moved.heard().or(broken).await;
    }
}

/// Asks on one connection for as long as it holds.
async fn ask(node: &Rc<Node>) -> Result<()> {
    let address = node.channel.get();
    let mut stream = connect(address, None, ASKED_WAIT).await?;
    let mut answers = Answers::default();
    loop {
        let question = node.follower.borrow().ask(&address.to_string());
        stream.write_all(&question).await?;
        let late = async {
            Timer::after(micros(ASKED_WAIT + ANSWER_LATE)).await;
            bail!("no answer in time")
        };
        let batch = answer(&mut stream, &mut answers).or(late).await?;
        node.follow(&batch)?;
    }
}

async fn answer(stream: &mut Stream, answers: &mut Answers) -> Result<Batch> {
    let mut piece = [0; PIECE];
    loop {
        if let Some(batch) = answers.whole()? {
            return Ok(batch);
        }
        let n = stream.read(&mut piece).await?;
        ensure!(n > 0, "it was closed");
        answers.put(&piece[..n]);
    }
}
