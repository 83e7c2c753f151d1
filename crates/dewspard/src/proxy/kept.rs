/*!
Answers of filings, kept for a while for callers that repeat their key.
*/

use {
    bytes::Bytes,
    dewspar::once::Key,
    hyper::Response,
    std::{
        collections::{HashMap, VecDeque},
        sync::{Mutex, PoisonError},
    },
};

/// How many answers are kept.
const MOST: usize = 1_000;

/// The largest answer that is kept, in bytes.
const LARGEST: usize = 4_096;

/// The answers that this node passed on last.
#[derive(Debug, Default)]
pub(super) struct KeptAnswers {
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    order: VecDeque<Key>,
    answers: HashMap<Key, Response<Bytes>>,
}

impl KeptAnswers {
    /// Keeps an answer, unless it is large.
    pub(super) fn keep(&self, key: Key, answer: &Response<Bytes>) {
        if answer.body().len() > LARGEST {
            return;
        }
        let mut kept =
            self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.answers.insert(key, answer.clone());
        kept.order.push_back(key);
        if kept.order.len() > MOST
            && let Some(oldest) = kept.order.pop_front()
        {
            kept.answers.remove(&oldest);
        }
    }

    /// Returns the answer to the filing with this key, if it is kept.
    pub(super) fn get(&self, key: Key) -> Option<Response<Bytes>> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.answers.get(&key).cloned()
    }
}
