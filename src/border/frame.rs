#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]
///The side that opened the stream gives it up.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Cancel {
    pub stream: u64,
}
///Lets the receiver of this frame send more bytes on a stream.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Credit {
    pub bytes: u64,
    pub stream: u64,
}
///Bytes of a body.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Data {
    ///Whether the body ends here.
    pub end: bool,
    pub stream: u64,
}
///Requests per second for one service from one locality.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Demand {
    pub age_ms: u32,
    ///The region of the callers.
    pub locality: ::std::string::String,
    ///Requests per second.
    pub requests: f64,
    pub service: ::std::string::String,
    ///The availability zone whose hosts saw them.
    pub zone: ::std::string::String,
}
///Asks for a revision, for files, or for both.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default)]
pub struct Fetch {
    ///SHA-256 of the files asked for, in hexadecimal.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub files: ::std::vec::Vec<::std::string::String>,
    ///Asks for the head if it is at least this revision.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub revision: ::std::option::Option<u64>,
}
///Texts of files of the configuration.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Files {
    ///Text by SHA-256.
    pub files: ::std::collections::BTreeMap<
        ::std::string::String,
        ::std::string::String,
    >,
}
///One frame between entry hosts: one WebSocket binary message that holds this item in CBOR. Frames of kind `data` and `part` are followed, in the same message, by a CBOR byte string.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub enum Frame {
    #[serde(rename = "hello")]
    Hello(Hello),
    #[serde(rename = "proof")]
    Proof(Proof),
    #[serde(rename = "message")]
    Message(Message),
    #[serde(rename = "part")]
    Part(Part),
    #[serde(rename = "open")]
    Open(Open),
    #[serde(rename = "head")]
    Head(Head),
    #[serde(rename = "refused")]
    Refused(Refused),
    #[serde(rename = "unknown")]
    Unknown(Unknown),
    #[serde(rename = "data")]
    Data(Data),
    #[serde(rename = "credit")]
    Credit(Credit),
    #[serde(rename = "cancel")]
    Cancel(Cancel),
    #[serde(rename = "reset")]
    Reset(Reset),
    #[serde(rename = "goodbye")]
    Goodbye(Goodbye),
}
impl ::std::convert::From<Hello> for Frame {
    fn from(value: Hello) -> Self {
        Self::Hello(value)
    }
}
impl ::std::convert::From<Proof> for Frame {
    fn from(value: Proof) -> Self {
        Self::Proof(value)
    }
}
impl ::std::convert::From<Message> for Frame {
    fn from(value: Message) -> Self {
        Self::Message(value)
    }
}
impl ::std::convert::From<Part> for Frame {
    fn from(value: Part) -> Self {
        Self::Part(value)
    }
}
impl ::std::convert::From<Open> for Frame {
    fn from(value: Open) -> Self {
        Self::Open(value)
    }
}
impl ::std::convert::From<Head> for Frame {
    fn from(value: Head) -> Self {
        Self::Head(value)
    }
}
impl ::std::convert::From<Refused> for Frame {
    fn from(value: Refused) -> Self {
        Self::Refused(value)
    }
}
impl ::std::convert::From<Unknown> for Frame {
    fn from(value: Unknown) -> Self {
        Self::Unknown(value)
    }
}
impl ::std::convert::From<Data> for Frame {
    fn from(value: Data) -> Self {
        Self::Data(value)
    }
}
impl ::std::convert::From<Credit> for Frame {
    fn from(value: Credit) -> Self {
        Self::Credit(value)
    }
}
impl ::std::convert::From<Cancel> for Frame {
    fn from(value: Cancel) -> Self {
        Self::Cancel(value)
    }
}
impl ::std::convert::From<Reset> for Frame {
    fn from(value: Reset) -> Self {
        Self::Reset(value)
    }
}
impl ::std::convert::From<Goodbye> for Frame {
    fn from(value: Goodbye) -> Self {
        Self::Goodbye(value)
    }
}
///The sender opens no more streams on this link.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Goodbye {
    pub reason: ::std::string::String,
}
///The start of a reply.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Head {
    pub headers: ::std::vec::Vec<Header>,
    ///Length of the body, if known.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub length: ::std::option::Option<u64>,
    pub status: u16,
    pub stream: u64,
}
///Name and value of a header.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct Header(pub (::std::string::String, ::std::string::String));
impl ::std::ops::Deref for Header {
    type Target = (::std::string::String, ::std::string::String);
    fn deref(&self) -> &(::std::string::String, ::std::string::String) {
        &self.0
    }
}
impl ::std::convert::From<Header> for (::std::string::String, ::std::string::String) {
    fn from(value: Header) -> Self {
        value.0
    }
}
impl ::std::convert::From<(::std::string::String, ::std::string::String)> for Header {
    fn from(value: (::std::string::String, ::std::string::String)) -> Self {
        Self(value)
    }
}
///A sign of life.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Heartbeat {
    ///The epoch of the plan in force.
    pub epoch: u64,
    ///Requests in flight.
    pub load: u32,
    ///The configuration in force.
    pub revision: u64,
    ///Rises by one with each heartbeat of an incarnation.
    pub sequence: u64,
    pub state: State,
}
///The first frame of each side.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Hello {
    ///The largest frame that is accepted, in bytes.
    pub frame: u64,
    ///The sender's name.
    pub host: ::std::string::String,
    ///The sender's incarnation.
    pub incarnation: u64,
    ///32 random bytes in hexadecimal.
    pub nonce: ::std::string::String,
    ///The host that the dialling side means to reach.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub to: ::std::option::Option<::std::string::String>,
    ///The highest protocol version spoken.
    pub version: u32,
    ///Bytes that may be sent on each new stream before credit is granted.
    pub window: u64,
    ///The sender's availability zone.
    pub zone: ::std::string::String,
}
///A control message.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub enum Message {
    #[serde(rename = "heartbeat")]
    Heartbeat(Heartbeat),
    #[serde(rename = "summary")]
    Summary(Summary),
    #[serde(rename = "control")]
    Control(crate::control::wire::Frame),
    #[serde(rename = "revision")]
    Revision(Revision),
    #[serde(rename = "fetch")]
    Fetch(Fetch),
    #[serde(rename = "files")]
    Files(Files),
    #[serde(rename = "plan")]
    Plan(Plan),
    #[serde(rename = "splits")]
    Splits(Splits),
}
impl ::std::convert::From<Heartbeat> for Message {
    fn from(value: Heartbeat) -> Self {
        Self::Heartbeat(value)
    }
}
impl ::std::convert::From<Summary> for Message {
    fn from(value: Summary) -> Self {
        Self::Summary(value)
    }
}
impl ::std::convert::From<crate::control::wire::Frame> for Message {
    fn from(value: crate::control::wire::Frame) -> Self {
        Self::Control(value)
    }
}
impl ::std::convert::From<Revision> for Message {
    fn from(value: Revision) -> Self {
        Self::Revision(value)
    }
}
impl ::std::convert::From<Fetch> for Message {
    fn from(value: Fetch) -> Self {
        Self::Fetch(value)
    }
}
impl ::std::convert::From<Files> for Message {
    fn from(value: Files) -> Self {
        Self::Files(value)
    }
}
impl ::std::convert::From<Plan> for Message {
    fn from(value: Plan) -> Self {
        Self::Plan(value)
    }
}
impl ::std::convert::From<Splits> for Message {
    fn from(value: Splits) -> Self {
        Self::Splits(value)
    }
}
///Opens a stream that carries one request. Streams are numbered in the order of their open frames on a link: 1, 3, 5.. those of the dialling side, 2, 4, 6.. those of the other.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Open {
    ///The caller's client block.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub block: ::std::option::Option<::std::string::String>,
    ///The traffic class.
    pub class: ::std::string::String,
    ///Time left when the frame was queued, in milliseconds.
    pub deadline_ms: u64,
    pub headers: ::std::vec::Vec<Header>,
    ///The caller's idempotency key.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub key: ::std::option::Option<::std::string::String>,
    ///Length of the body, if known.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub length: ::std::option::Option<u64>,
    ///The region that the caller is in.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub locality: ::std::option::Option<::std::string::String>,
    pub method: ::std::string::String,
    ///Path and query as the target gets them.
    pub path: ::std::string::String,
    ///Rank in a full queue, 0 (dropped first) to 9.
    pub priority: u8,
    ///When the frame was queued, in milliseconds since the sender set up the link.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub queued_ms: ::std::option::Option<u64>,
    ///The request's identifier.
    pub request: ::std::string::String,
    pub service: ::std::string::String,
    ///The ticket that binds the key to a host, HOST.INCARNATION.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub ticket: ::std::option::Option<::std::string::String>,
}
///A piece of a message that does not fit a frame; the pieces of one message come in order.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Part {
    ///Whether this is the last piece.
    pub end: bool,
}
///A plan.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Plan {
    pub epoch: u64,
    ///The platform object of the plan, JSON text.
    pub plan: ::std::string::String,
}
///Proves knowledge of the shared secret.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Proof {
    ///HMAC-SHA256 over the direction and both hello frames, in hexadecimal.
    pub mac: ::std::string::String,
}
///Ends a stream: the request did not run.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Refused {
    pub reason: ::std::string::String,
    pub retry_after_ms: u64,
    pub stream: u64,
}
///The side that replies gives the stream up; the reply is not whole.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Reset {
    pub stream: u64,
}
///A revision of the configuration.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Revision {
    ///The platform object of the revision, JSON text.
    pub head: ::std::string::String,
    pub revision: u64,
}
///Measurement of one service in one availability zone.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Site {
    ///Time since the sample was taken, when this was sent.
    pub age_ms: u32,
    pub in_flight: u32,
    pub queued: u32,
    ///Requests refused per second.
    pub refused: f64,
    pub service: ::std::string::String,
    ///Slots of targets that take new work.
    pub slots: u32,
    pub zone: ::std::string::String,
}
///`Split`
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Split {
    pub locality: ::std::string::String,
    pub service: ::std::string::String,
    ///Share by availability zone; they sum to 1.
    pub shares: ::std::collections::BTreeMap<::std::string::String, f64>,
}
///The sender's splits.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Splits {
    pub splits: ::std::vec::Vec<Split>,
}
///Whether a host takes new work.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum State {
    #[serde(rename = "serving")]
    Serving,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for State {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Serving => f.write_str("serving"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for State {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "serving" => Ok(Self::Serving),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for State {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for State {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Measurements of sites and of demand.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Summary {
    pub demand: ::std::vec::Vec<Demand>,
    pub sites: ::std::vec::Vec<Site>,
}
///Ends a stream: whether the request ran is unknown.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Unknown {
    pub reason: ::std::string::String,
    pub stream: u64,
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
