/*!
Carrying out what the scheduler decides: one task for each order.
*/

use {
    super::event::{Event, EventSender},
    crate::{clock, counters},
    dewspar::schedule::{Action, OrderError},
    dewspar_platform::{Fleet, JobWorkers},
};

/// Sends an order and reports its result as an event.
pub(super) fn send<W: JobWorkers, F: Fleet>(
    workers: &W,
    fleet: &F,
    action: Action,
    events: &EventSender,
) {
    let (workers, fleet) = (workers.clone(), fleet.clone());
    let events = events.clone();
    tokio::spawn(async move {
        let event = carry_out(&workers, &fleet, action).await;
        // A holder that is gone has no use for it.
        let _ = events.send(event).await;
    });
}

async fn carry_out<W: JobWorkers, F: Fleet>(
    workers: &W,
    fleet: &F,
    action: Action,
) -> Event {
    match action {
        Action::Start { worker, address, order } => {
            let sent_ms = clock::now_ms();
            let result = workers.start(&address, &worker, &order).await;
            let took_ms = clock::now_ms().saturating_sub(sent_ms);
            count("start", result.as_ref().err());
            let (task, run) = (order.task, order.run);
            Event::StartAnswered { worker, task, run, took_ms, result }
        }
        Action::Stop { worker, address, order } => {
            let result = workers.stop(&address, &worker, &order).await;
            count("stop", result.as_ref().err());
            Event::StopAnswered { worker, task: order.task, result }
        }
        Action::Hold { worker, address, held } => {
            let result = workers.hold(&address, &worker, held.order()).await;
            count("hold", result.as_ref().err());
            Event::HoldAnswered { worker, held, result }
        }
        Action::Advise { step, workers, asked_ms } => {
            let answer = fleet.advise(&step, &workers).await;
            if let Err(error) = &answer {
                counters::platform_failure(error);
            }
            Event::AdviceAnswered { step, workers, asked_ms, answer }
        }
        Action::Pace { worker, address, order } => {
            let result = workers.pace(&address, &worker, &order).await;
            count("pace", result.as_ref().err());
            Event::PaceAnswered { worker, order, result }
        }
    }
}

fn count(order: &'static str, error: Option<&OrderError>) {
    let result = error.map_or("done", |error| error.name());
    metrics::counter!(
        counters::ORDERS, "order" => order, "result" => result
    )
    .increment(1);
}
