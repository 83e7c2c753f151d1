/*!
Between nodes: one QUIC connection a pair, mutual TLS, one stream a question.

A node proves who it is with a certificate of the common authority that names
it; a peer without one gets nothing, not even an error message. Every message
carries the protocol's version, and is bounded in size before it is read.
*/

pub use self::{
    endpoint::{Endpoint, Error},
    message::{
        Answer, FilingAnswer, FilingItem, HeardNode, Probe, Question, VERSION,
    },
    tls::{Identity, SetupError},
};

mod endpoint;
mod message;
mod tls;
