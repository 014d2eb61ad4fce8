//! Runs `cedarpulley node` while clients call ever new functions, and compares its memory with its limit.

use std::thread;

mod platform;
use platform::*;

/// Memory limit of the router, in megabytes.
const MEMORY_MB: u64 = 16;
/// Workers in the list beside the one of the harness.
const WORKERS: u64 = 300;
/// Clients, and the functions that each of them calls.
const CLIENTS: u32 = 8;
const FUNCTIONS: u32 = 500;

/// Guards against a router that is killed for its memory: it stored each function that was called once for every worker in
/// the list, 26 MB here, although nobody called it again.
#[test]
fn calls_of_ever_new_functions_stay_within_the_memory_limit() {
    let world = World::with(4, |config| {
        config.replace(r#""memory_mb":64"#, &format!(r#""memory_mb":{MEMORY_MB}"#))
    });
    for worker in 0..WORKERS {
        world.tell(
            2 + worker,
            &format!("s-{}", 2 + worker),
            world.workers,
            "active",
        );
    }
    world.until("the router knows all workers", |world| {
        let channel = world.channel.lock().expect("channel");
        channel.asked.contains(&(1 + WORKERS))
    });
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let world = &world;
            scope.spawn(move || {
                for number in client * FUNCTIONS..(client + 1) * FUNCTIONS {
                    let function = format!("{:016x}", 0xf000_0000 + number);
                    let text = call(&id(1 + number), "plain", &function, "", "part");
                    assert_eq!(world.ask(&text).expect("an answer").0, 200);
                }
            });
        }
    });
    let used = world.anonymous_memory();
    assert!(used <= MEMORY_MB << 20, "{used} bytes");
}
