/*!
Carrying out what the scheduler decides: one task for each order.

An order is sent by the lease as the holder knew it when it decided. If the VM
is suspended before the order goes out, another node may hold the lease by then:
the order isn't sent, which its result says.
*/

use {
    super::event::{Event, EventSender},
    crate::{
        clock::{self, Suspensions},
        counters,
    },
    dewspar::schedule::{Action, OrderError},
    dewspar_platform::{Fleet, JobWorkers},
    std::future::Future,
};

/// Sends an order and reports its result as an event.
///
/// `decided` is what was known of suspensions when the order was decided on.
pub(super) fn send<W: JobWorkers, F: Fleet>(
    workers: &W,
    fleet: &F,
    action: Action,
    decided: Suspensions,
    events: &EventSender,
) {
    let (workers, fleet) = (workers.clone(), fleet.clone());
    let events = events.clone();
    tokio::spawn(async move {
        let event = carry_out(&workers, &fleet, action, decided).await;
        // A holder that is gone has no use for it.
        let _ = events.send(event).await;
    });
}

async fn carry_out<W: JobWorkers, F: Fleet>(
    workers: &W,
    fleet: &F,
    action: Action,
    decided: Suspensions,
) -> Event {
    match action {
        Action::Start { worker, address, order } => {
            let sent_ms = clock::now_ms();
            let sending = workers.start(&address, &worker, &order);
            let result = unless_suspended(decided, sending).await;
            let took_ms = clock::now_ms().saturating_sub(sent_ms);
            count("start", result.as_ref().err());
            let (task, run) = (order.task, order.run);
            Event::StartAnswered { worker, task, run, took_ms, result }
        }
        Action::Stop { worker, address, order } => {
            let sending = workers.stop(&address, &worker, &order);
            let result = unless_suspended(decided, sending).await;
            count("stop", result.as_ref().err());
            Event::StopAnswered { worker, task: order.task, result }
        }
        Action::Hold { worker, address, held } => {
            let sending = workers.hold(&address, &worker, held.order());
            let result = unless_suspended(decided, sending).await;
            count("hold", result.as_ref().err());
            Event::HoldAnswered { worker, held, result }
        }
        // It orders nothing, and its answer counts from when it was decided on.
        Action::Advise { step, workers, asked_ms } => {
            let answer = fleet.advise(&step, &workers).await;
            if let Err(error) = &answer {
                counters::platform_failure(error);
            }
            Event::AdviceAnswered { step, workers, asked_ms, answer }
        }
        Action::Pace { worker, address, order } => {
            let sending = workers.pace(&address, &worker, &order);
            let result = unless_suspended(decided, sending).await;
            count("pace", result.as_ref().err());
            Event::PaceAnswered { worker, order, result }
        }
    }
}

/// Sends an order, unless this VM was suspended since it was decided on.
async fn unless_suspended<T>(
    mut decided: Suspensions,
    sending: impl Future<Output = Result<T, OrderError>>,
) -> Result<T, OrderError> {
    // Workers refuse it by its token only where another holder has been.
    if decided.noticed_ms(clock::suspended_ms()).is_some() {
        return Err(OrderError::NotSent);
    }
    sending.await
}

fn count(order: &'static str, error: Option<&OrderError>) {
    let result = error.map_or("done", |error| error.name());
    metrics::counter!(
        counters::ORDERS, "order" => order, "result" => result
    )
    .increment(1);
}
