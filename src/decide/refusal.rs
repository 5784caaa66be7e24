//! Reasons for refusing a request.

use serde::Serialize;
use strum::{EnumMessage, IntoStaticStr};

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, IntoStaticStr, EnumMessage, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RefusalKind {
    #[strum(message = "the request could not be read")]
    BadRequest,
    #[strum(message = "the key names no workspace")]
    Unauthorized,
    #[strum(message = "there is no such thing")]
    NotFound,
    #[strum(message = "the state does not allow this")]
    Conflict,
    #[strum(message = "the request is too large")]
    TooLarge,
    #[strum(message = "the head of the request is too large")]
    HeadTooLarge,
    #[strum(message = "the request took too long to arrive")]
    SlowRequest,
    #[strum(message = "the workspace has used its share")]
    ShareUsed,
    #[strum(message = "the workspace has used its quota of requests")]
    QuotaUsed,
    #[strum(message = "too much batch work waits on this route")]
    TooMuchWaiting,
    #[strum(message = "the service is full")]
    ServiceFull,
    #[strum(message = "the answer could not come before the deadline")]
    DeadlineUnreachable,
    #[strum(message = "the deadline passed")]
    DeadlinePassed,
    #[strum(message = "no endpoint can be reached")]
    NoEndpoint,
    #[strum(message = "no endpoint runs the software that began this stream")]
    SoftwareGone,
    #[strum(message = "it is not known which software began this stream")]
    OriginUnknown,
    #[strum(message = "it is not known which software an endpoint runs now")]
    SoftwareUnconfirmed,
    #[strum(message = "the endpoint failed")]
    EndpointFailed,
    #[strum(message = "the outcome of an earlier try is unknown")]
    OutcomeUnknown,
    #[strum(message = "this request, or a segment of its prompt, ends the endpoints that run it")]
    Quarantined,
    #[strum(message = "the platform is away")]
    PlatformAway,
    #[strum(message = "this VM is not ready")]
    NotReady,
    #[strum(message = "this VM has no memory left for the request")]
    MemoryFull,
}

impl RefusalKind {
    /// The HTTP status sent with the refusal.
    pub fn status(self) -> u16 {
        match self {
            RefusalKind::BadRequest => 400,
            RefusalKind::Unauthorized => 401,
            RefusalKind::NotFound => 404,
            RefusalKind::SlowRequest => 408,
            RefusalKind::Conflict | RefusalKind::OutcomeUnknown => 409,
            RefusalKind::TooLarge => 413,
            RefusalKind::ShareUsed | RefusalKind::QuotaUsed | RefusalKind::TooMuchWaiting => 429,
            RefusalKind::HeadTooLarge => 431,
            RefusalKind::EndpointFailed => 502,
            RefusalKind::DeadlinePassed => 504,
            RefusalKind::ServiceFull
            | RefusalKind::DeadlineUnreachable
            | RefusalKind::NoEndpoint
            | RefusalKind::SoftwareGone
            | RefusalKind::OriginUnknown
            | RefusalKind::SoftwareUnconfirmed
            | RefusalKind::Quarantined
            | RefusalKind::PlatformAway
            | RefusalKind::NotReady
            | RefusalKind::MemoryFull => 503,
        }
    }
}
