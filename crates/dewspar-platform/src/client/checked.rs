/*!
Requests that only a process may get which has just answered a question.

An address outlives the processes that serve it: a process may end, and the
next one listens at the same address. A connection leads to one process only
and ends with it. So a question is asked first, and if the answer shows the
right process, the request follows over the same connection or isn't sent.
*/

use {
    super::{Answer, Client, request_head_bytes, size_of},
    crate::Error,
    bytes::Bytes,
    http_body_util::Full,
    hyper::Request,
    tokio::time::{Instant, timeout_at},
};

/// The outcome of a request that depends on the answer to a question.
#[derive(Clone, Debug)]
pub enum Checked<R> {
    /// The request was sent, and this is its answer.
    Sent(Answer),
    /// The request wasn't sent, since the answer to the question was rejected
    /// for this reason.
    Rejected(R),
}

impl Client {
    /// Asks a question and then, if `check` accepts its answer, sends a request
    /// to the process that has answered. Both together take at most the time
    /// of a call.
    ///
    /// Only for clients with a [limited number of connections] to each
    /// address.
    ///
    /// [limited number of connections]: Client::with_connection_limit
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that says whether the request may have taken
    /// effect; without an answer to the question it hasn't.
    pub async fn send_after_check<R>(
        &self,
        call: &'static str,
        question: Request<Full<Bytes>>,
        check: impl FnOnce(&Answer) -> Result<(), R>,
        request: Request<Full<Bytes>>,
    ) -> Result<Checked<R>, Error> {
        let unavailable = |reason: String| Error::Unavailable { call, reason };
        let Some(bounded) = &self.bounded else {
            let reason = "its connections aren't limited".to_owned();
            return Err(unavailable(reason));
        };
        let permit = self.acquire(call, bounded, &question).await?;
        let deadline = Instant::now() + self.timeout;
        let sent = [&question, &request]
            .map(|request| (request_head_bytes(request), size_of(request)));
        let [(question_head, question_body), (head, body)] = sent;

        let sending = bounded.send(&permit, question);
        let asking = self.read_bounded(call, &permit, sending);
        let asked = timeout_at(deadline, asking).await.unwrap_or_else(|_| {
            self.give_up_bounded(&permit);
            Err(self.no_answer(call))
        });
        // The request itself hasn't been sent.
        let (answer, connection) =
            asked.map_err(|error| unavailable(error.to_string()))?;
        self.count_exchange(question_head, question_body, &answer);
        if let Err(reason) = check(&answer) {
            bounded.keep(permit, connection);
            return Ok(Checked::Rejected(reason));
        }

        let sending = connection.send(request);
        let whole = self.read_bounded(call, &permit, sending);
        let answered = timeout_at(deadline, whole).await;
        let (answer, connection) = answered.unwrap_or_else(|_| {
            self.give_up_bounded(&permit);
            Err(self.no_answer(call))
        })?;
        self.count_exchange(head, body, &answer);
        bounded.keep(permit, connection);
        Ok(Checked::Sent(answer))
    }
}
