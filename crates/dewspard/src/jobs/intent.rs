/*!
The operator's configuration, kept up to date.

A watch reports changes at once, but it may go silent without an error. So the
store is also polled at least twice within the time in which a configuration
must be in force. Each snapshot carries the time at which it was requested, so
that its age is known.
*/

use {
    crate::{clock, counters},
    dewspar_platform::{Fleet, Intent},
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// How many times the store is polled within the time in which a configuration
/// must be in force.
const READS_PER_APPLY_TIME: u64 = 2;

/// The delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The latest state read from the store.
#[derive(Clone, Debug, Default)]
pub(super) struct Snapshot {
    pub(super) intent: Arc<Intent>,
    /// When it was requested, on the steady clock; 0 for never.
    pub(super) requested_ms: u64,
}

impl Snapshot {
    /// Returns the age in milliseconds.
    pub(super) fn age_ms(&self) -> u64 {
        clock::now_ms().saturating_sub(self.requested_ms)
    }
}

/// Gives access to the latest snapshot.
pub(super) type Reader = watch::Receiver<Snapshot>;

/// Starts to follow the operator's configuration.
pub(super) fn start<F: Fleet>(
    fleet: F,
    config_apply_ms: u64,
    log: Logger,
) -> Reader {
    let (sender, reader) = watch::channel(Snapshot::default());
    let task = Follower {
        fleet,
        config_apply_ms,
        sender,
        log,
        is_unreachable: false,
    };
    tokio::spawn(task.run());
    reader
}

struct Follower<F> {
    fleet: F,
    config_apply_ms: u64,
    sender: watch::Sender<Snapshot>,
    log: Logger,
    is_unreachable: bool,
}

impl<F: Fleet> Follower<F> {
    async fn run(mut self) {
        while !self.sender.is_closed() {
            if self.read().await {
                self.wait_for_change().await;
            } else {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Reads the store; returns whether it answered.
    async fn read(&mut self) -> bool {
        let requested_ms = clock::now_ms();
        match self.fleet.intent().await {
            Ok(intent) => {
                if self.is_unreachable {
                    info!(self.log, "operator: store answers again");
                    self.is_unreachable = false;
                }
                self.publish(intent, requested_ms);
                true
            }
            Err(error) => {
                counters::platform_failure(&error);
                if !self.is_unreachable {
                    warn!(self.log, "operator: store doesn't answer";
                        "error" => %error);
                    self.is_unreachable = true;
                }
                false
            }
        }
    }

    fn publish(&self, mut intent: Intent, requested_ms: u64) {
        let current = self.sender.borrow().clone();
        let version = |intent: &Intent| {
            intent.queues.as_ref().map_or(0, |queues| queues.version())
        };
        let (old, new) = (version(&current.intent), version(&intent));
        // Versions never go back within a process, even if a read returns an
        // older one.
        if new < old {
            intent.queues = current.intent.queues.clone();
        }
        if new > old {
            info!(self.log, "operator: configuration in force";
                "version" => new, "before" => old,
                "read_at" => intent.read_at,
                "age_ms" => clock::now_ms().saturating_sub(requested_ms));
            counters::set(counters::CONFIG_REVISION, new as f64);
        }
        let intent = Arc::new(intent);
        self.sender.send_replace(Snapshot { intent, requested_ms });
    }

    async fn wait_for_change(&self) {
        let read_at = self.sender.borrow().intent.read_at;
        let max_wait =
            Duration::from_millis(self.config_apply_ms / READS_PER_APPLY_TIME);
        let changed = self.fleet.intent_changed(read_at);
        match tokio::time::timeout(max_wait, changed).await {
            // Time to poll, whether or not the watch reported a change.
            Err(_) | Ok(Ok(_)) => {}
            Ok(Err(error)) => {
                counters::platform_failure(&error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
