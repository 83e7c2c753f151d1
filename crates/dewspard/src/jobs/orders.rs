/*!
Execution of the scheduler's orders to workers: one task for each order.

An order that has become [outdated](crate::order_basis) before it is sent isn't
sent, and its result is [`OrderError::NotSent`]. The clocks are read only once
for each order, which also gives its time of sending, because a busy holder
sends thousands a second.
*/

use {
    super::event::{Event, EventSender},
    crate::{clock, counters, order_basis::OrderBasis},
    dewspar::schedule::{Action, OrderError},
    dewspar_platform::{Fleet, JobWorkers},
    std::future::Future,
};

/// Sends an order and reports its result as an event.
pub(super) fn send<W: JobWorkers, F: Fleet>(
    workers: &W,
    fleet: &F,
    action: Action,
    basis: OrderBasis,
    events: &EventSender,
) {
    let (workers, fleet) = (workers.clone(), fleet.clone());
    let events = events.clone();
    tokio::spawn(async move {
        let event = execute(&workers, &fleet, action, basis).await;
        // If the holder has stopped, the result isn't needed.
        let _ = events.send(event).await;
    });
}

async fn execute<W: JobWorkers, F: Fleet>(
    workers: &W,
    fleet: &F,
    action: Action,
    basis: OrderBasis,
) -> Event {
    let time = clock::read();
    let outdated = basis.is_outdated(time);
    match action {
        Action::Start { worker, address, mut order } => {
            order.is_for_process_only |=
                basis.may_outlast_lease(time, workers.timeout_ms());
            let sending = workers.start(&address, &worker, &order);
            let result = send_unless_outdated(outdated, sending).await;
            let took_ms = clock::now_ms().saturating_sub(time.now_ms);
            count_order("start", result.as_ref().err());
            let (task, run) = (order.task, order.run);
            Event::StartAnswered { worker, task, run, took_ms, result }
        }
        Action::Stop { worker, address, order } => {
            let sending = workers.stop(&address, &worker, &order);
            let result = send_unless_outdated(outdated, sending).await;
            count_order("stop", result.as_ref().err());
            Event::StopAnswered { worker, task: order.task, result }
        }
        Action::Hold { worker, address, held } => {
            let sending = workers.hold(&address, &worker, held.order());
            let result = send_unless_outdated(outdated, sending).await;
            count_order("hold", result.as_ref().err());
            Event::HoldAnswered { worker, held, result }
        }
        // Sent even if outdated: it changes nothing, and its answer counts as
        // of when it was planned.
        Action::Advise { step, workers, asked_ms } => {
            let answer = fleet.advise(&step, &workers).await;
            if let Err(error) = &answer {
                counters::platform_failure(error);
            }
            Event::AdviceAnswered { step, workers, asked_ms, answer }
        }
        Action::Pace { worker, address, order } => {
            let sending = workers.pace(&address, &worker, &order);
            let result = send_unless_outdated(outdated, sending).await;
            count_order("pace", result.as_ref().err());
            Event::PaceAnswered { worker, order, result }
        }
    }
}

/// Sends an order, unless it is outdated.
///
/// # Errors
///
/// [`OrderError::NotSent`] for an outdated order, otherwise the error of the
/// call.
async fn send_unless_outdated<T>(
    outdated: bool,
    sending: impl Future<Output = Result<T, OrderError>>,
) -> Result<T, OrderError> {
    if outdated {
        return Err(OrderError::NotSent);
    }
    sending.await
}

fn count_order(order: &'static str, error: Option<&OrderError>) {
    let result = error.map_or("done", |error| error.name());
    metrics::counter!(
        counters::ORDERS, "order" => order, "result" => result
    )
    .increment(1);
}
