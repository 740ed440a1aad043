//! Numbered result codes.
//!
//! Every answer other than a success carries one. The table for callers is `docs/RESULT-CODES.md`; a test
//! checks that it matches this module.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether an upstream may have acted on a request that wasn't answered with success.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No upstream acted on the request and none will.
    #[display("not_run")]
    NotRun,
    /// The upstream may have acted on the request or may still do so.
    #[display("outcome_unknown")]
    Unknown,
    /// The upstream acted on the request.
    #[display("ran")]
    Ran,
}

macro_rules! result_codes {
    ($($number:literal $variant:ident $status:literal $execution:ident $meaning:literal;)*) => {
        /// Result code of a refused or failed request.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
        #[repr(u16)]
        pub enum ResultCode {
            $(#[doc = $meaning] $variant = $number,)*
        }

        impl ResultCode {
            /// Every code, in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The number that callers see.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// The name that callers see.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => stringify!($variant),)*
                }
            }

            /// HTTP status of the answer that carries the code.
            pub fn status(self) -> u16 {
                match self {
                    $(Self::$variant => $status,)*
                }
            }

            /// Whether the request was executed.
            pub fn execution(self) -> Execution {
                match self {
                    $(Self::$variant => Execution::$execution,)*
                }
            }

            /// The meaning of the code, in one sentence.
            pub fn meaning(self) -> &'static str {
                match self {
                    $(Self::$variant => $meaning,)*
                }
            }

            /// The code with the given number.
            pub fn from_number(number: u16) -> Option<Self> {
                match number {
                    $($number => Some(Self::$variant),)*
                    _ => None,
                }
            }
        }
    };
}

result_codes! {
    1001 MalformedJson 400 NotRun "The body is not valid JSON.";
    1002 UnsupportedMediaType 415 NotRun "The content type is not one that the route takes.";
    1003 BodyTooLarge 413 NotRun "The body is larger than the service allows.";
    1004 HeadersTooLarge 431 NotRun "The header section is larger than the instance allows.";
    1005 InvalidUtf8 400 NotRun "The body or a header that must be text is not valid UTF-8.";
    1006 InvalidField 400 NotRun "A field is missing, has the wrong type or is out of range.";
    1007 AmbiguousFraming 400 NotRun "The request's framing headers conflict or repeat.";
    1008 MissingIdempotencyKey 400 NotRun "The service needs an Idempotency-Key for calls that change state.";
    1009 InvalidIdempotencyKey 400 NotRun "The Idempotency-Key is empty, too long or not printable ASCII.";
    1010 UnknownModel 404 NotRun "No service offers the model.";
    1011 UnknownService 404 NotRun "No service has the name.";
    1012 UnknownRoute 404 NotRun "The path is not one that the instance serves.";
    1013 MethodNotAllowed 405 NotRun "The route does not take the method.";
    1014 SlowSender 408 NotRun "The caller sent its request too slowly.";
    1015 IdempotencyKeyReused 422 NotRun "The Idempotency-Key was used before with another request.";
    2001 MissingKey 401 NotRun "The route needs a key and none came with the request.";
    2002 UnknownKey 401 NotRun "The key is not known.";
    2003 WithdrawnKey 401 NotRun "The key was withdrawn.";
    2004 ServiceNotAllowed 403 NotRun "The customer may not use the service.";
    2005 TeamNotAllowed 403 NotRun "The operator may not write or read this team's settings.";
    3001 CustomerLimit 429 NotRun "The customer is at its limit for the service.";
    3002 QueueFull 503 NotRun "The service's queue is full.";
    3003 DeadlineUnreachable 503 NotRun "The request can't be answered before its deadline.";
    3005 NoUpstream 503 NotRun "No upstream of the service can take the request now.";
    3006 InstanceLeaving 503 NotRun "The instance is shutting down; use another address.";
    3007 NotReady 503 NotRun "The instance has not reached the current settings yet.";
    3008 SettingsStale 503 NotRun "The instance can't prove that its settings are current.";
    3009 LogUnavailable 503 NotRun "The call must be recorded first and the platform's log is not answering.";
    3010 UpstreamRefused 503 NotRun "Every upstream that was tried refused the request before running it.";
    3011 InstanceOverloaded 503 NotRun "The instance holds as many requests as it can.";
    4001 OutcomeUnknown 504 Unknown "The upstream did not answer; it may have acted on the call.";
    4002 HomeGone 504 Unknown "The instance that remembers the Idempotency-Key is gone; the call may have run.";
    4003 StreamBroken 502 Ran "The stream ended early and could not be resumed.";
    4004 UpstreamFailed 502 Ran "The upstream answered with an error of its own.";
    4005 StillRunning 409 Unknown "A call with the same Idempotency-Key is still running.";
    4006 AnswerNotKept 410 Ran "The call ran; its answer was too large or too old to be kept.";
    4008 ClaimUnconfirmed 504 Unknown "The instance can't look the Idempotency-Key up now; an earlier request with the key may have run.";
    5001 Internal 500 Unknown "The instance failed in a way that it does not explain.";
    6001 InvalidSettings 422 NotRun "The change does not pass the settings check.";
    6002 VersionConflict 409 NotRun "The settings changed since the version that the change expects.";
    6003 ChangeNotConfirmed 504 Unknown "The change was sent to the log and was not read back in time.";
    7001 UnknownJob 404 NotRun "No job has the id, or its record has expired.";
    7002 JobTooLarge 413 NotRun "The job's input is larger than the log can hold.";
    7003 JobNotConfirmed 504 Unknown "The job was sent to the log and was not read back in time.";
}

impl std::fmt::Display for ResultCode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}
