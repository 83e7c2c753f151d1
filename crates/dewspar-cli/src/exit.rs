/*!
Exit codes, and errors that carry one.
*/

use {
    displaydoc::Display,
    std::{error, process::ExitCode},
};

/// What a command's end means to the shell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// It did what it should.
    Success = 0,
    /// It ran, and found something broken or failed on the way.
    Failure = 1,
    /// The command line, a document or a file is not valid.
    Invalid = 2,
    /// Somebody else changed the resource first.
    Conflict = 3,
    /// There is no such resource.
    NotFound = 4,
    /// The node or the platform can't be reached.
    Unavailable = 5,
    /// The token is missing or not good enough.
    Forbidden = 6,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code as u8)
    }
}

/// {message}
#[derive(Debug, Display)]
pub struct Error {
    code: Code,
    message: String,
}

impl error::Error for Error {}

impl Error {
    /// Makes an error.
    pub fn new(code: Code, message: impl ToString) -> Error {
        Error { code, message: message.to_string() }
    }

    /// Makes an error of something that isn't valid.
    pub fn invalid(message: impl ToString) -> Error {
        Error::new(Code::Invalid, message)
    }

    /// Makes an error of something that failed.
    pub fn failure(message: impl ToString) -> Error {
        Error::new(Code::Failure, message)
    }

    /// Returns the exit code.
    pub fn code(&self) -> Code {
        self.code
    }
}
