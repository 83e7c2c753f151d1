/*!
Filings: intent first, act second, outcome third.
*/

use {
    super::{
        answer::{Answer, Outcome as Told, Problem, mark},
        exchange::Attempt,
        server::{Forward, Proxy, Tried},
    },
    crate::journal::Intended,
    bytes::Bytes,
    dewspar::once::{Filing, Key, KeyStatus, Outcome},
    http_body_util::Full,
    hyper::{Response, StatusCode},
    std::sync::Arc,
};

/// When to come back while another attempt is under way, in milliseconds.
const IN_PROGRESS_RETRY_MS: u64 = 1_000;

/// When to come back while the journal can't be written, in milliseconds.
const JOURNAL_OUT_RETRY_MS: u64 = 1_000;

/// Runs a filing, at most once.
///
/// The caller may hang up meanwhile; the outcome is recorded all the same.
pub(super) async fn run(
    proxy: Arc<Proxy>,
    key: Key,
    forward: Forward,
) -> Result<Answer, Problem> {
    let filing = Filing::new(key, &forward.identity());
    let actor = match proxy.filings().intend(filing).await {
        Intended::Written(actor) => actor,
        Intended::Standing(standing) => {
            return answer_standing(&proxy, key, standing);
        }
        Intended::NotWritten => {
            let detail = "the journal of filings can't be written now";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Problem::not_run(status, "journal-out", detail)
                .retry_after_ms(JOURNAL_OUT_RETRY_MS));
        }
    };
    let tried = proxy.try_runners(&forward).await;
    let outcome = match &tried {
        Tried::Answered(answer) => {
            proxy.kept().keep(key, answer);
            Outcome::Ran { status: answer.status().as_u16() }
        }
        Tried::NotRun(_) => Outcome::NotRun,
        Tried::Unknown(_) => Outcome::Unknown,
    };
    // The answer doesn't wait for the outcome to be written: if this node
    // dies now, the key's next use is told `unknown`, and nothing is run.
    proxy.filings().settle(key, actor, outcome);
    match tried {
        Tried::Answered(answer) => Ok(answer.map(Full::new)),
        Tried::NotRun(problem) | Tried::Unknown(problem) => Err(problem),
    }
}

/// Returns whether an attempt at a filing leaves another one open.
pub(super) fn may_try_again(attempt: &Attempt) -> bool {
    matches!(attempt, Attempt::NotRun(_))
}

fn answer_standing(
    proxy: &Proxy,
    key: Key,
    standing: KeyStatus,
) -> Result<Answer, Problem> {
    let problem = match standing {
        KeyStatus::Settled(Outcome::Ran { status }) => {
            return Ok(repeat(proxy, key, status));
        }
        KeyStatus::Settled(Outcome::Unknown) => Problem::unknown(
            StatusCode::BAD_GATEWAY,
            "in-doubt",
            "an earlier attempt with this key may have run",
        ),
        KeyStatus::Settled(Outcome::NotRun) => Problem::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "not-run",
            "an attempt with this key was given up",
        )
        .retry_after_ms(1),
        KeyStatus::Pending(actor) | KeyStatus::Intended(actor)
            if proxy.filings().is_live(&actor) =>
        {
            let detail = "another attempt with this key is under way";
            let status = StatusCode::CONFLICT;
            Problem::unknown(status, "in-progress", detail)
                .retry_after_ms(IN_PROGRESS_RETRY_MS)
        }
        KeyStatus::Pending(_) | KeyStatus::Intended(_) => Problem::unknown(
            StatusCode::BAD_GATEWAY,
            "in-doubt",
            "the node that took this filing is gone, and may have run it",
        ),
        KeyStatus::OtherBody => Problem::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key-reused",
            "header `idempotency-key`: the key was used with another request",
        ),
        KeyStatus::TooOld => Problem::unknown(
            StatusCode::GONE,
            "key-too-old",
            "header `idempotency-key`: the key is older than the time for \
             which keys are remembered, and may have run",
        ),
        KeyStatus::TooNew => Problem::not_run(
            StatusCode::BAD_REQUEST,
            "key-too-new",
            "header `idempotency-key`: the key's time lies in the future",
        ),
    };
    Err(problem)
}

/// Repeats the answer of a filing that has run, or at least its status.
fn repeat(proxy: &Proxy, key: Key, status: u16) -> Answer {
    let kept = proxy.kept().get(key);
    let mut answer = match kept {
        Some(answer) => answer.map(Full::new),
        None => {
            let mut answer = Response::new(Full::new(Bytes::new()));
            let status = StatusCode::from_u16(status);
            *answer.status_mut() = status.unwrap_or(StatusCode::OK);
            answer
        }
    };
    mark(answer.headers_mut(), Told::Ran);
    answer
}
