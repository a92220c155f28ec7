#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]
///What an operator's folder was derived from; kept in the folder as .ragwortfold-base.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Base {
    ///SHA-256 of each file's text, by the file's name.
    pub files: ::std::collections::BTreeMap<
        ::std::string::String,
        ::std::string::String,
    >,
    pub revision: u64,
}
///Who changed the configuration, when and why.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Change {
    pub author: ::std::string::String,
    ///The identity of this one change: 128 random bits in hexadecimal.
    pub id: ::std::string::String,
    pub note: ::std::string::String,
    ///Milliseconds since 1970 on the author's clock; not for ordering.
    pub time: u64,
}
///`Event`
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Event {
    pub key: ::std::string::String,
    ///null when the object was deleted.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub value: ::std::option::Option<::serde_json::Value>,
    pub version: u64,
}
///The answer to a watch; no events after a time-out.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Events {
    pub events: ::std::vec::Vec<Event>,
    ///Where the next watch goes on from.
    pub version: u64,
}
///The text of one file, at config/file/SHA256.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct File {
    pub text: ::std::string::String,
}
///The configuration in force, at config/head: one conditional update of it is one revision.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Head {
    pub change: Change,
    ///SHA-256 of each file's text, by the file's name.
    pub files: ::std::collections::BTreeMap<
        ::std::string::String,
        ::std::string::String,
    >,
    ///The latest changes, newest first, beginning with this one.
    pub recent: ::std::vec::Vec<Step>,
    pub revision: u64,
}
///`HostEntry`
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct HostEntry {
    pub host: ::std::string::String,
    pub state: HostState,
}
///`HostState`
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
pub enum HostState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for HostState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for HostState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for HostState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for HostState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///The lagging list of hosts.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Hosts {
    pub hosts: ::std::vec::Vec<HostEntry>,
}
///The answer to a listing by prefix.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Listing {
    pub objects: ::std::vec::Vec<Object>,
    ///The platform's version as of the listing.
    pub version: u64,
}
///`Object`
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct Object {
    pub key: ::std::string::String,
    pub value: ::serde_json::Value,
    pub version: u64,
}
///What the platform's object API answers, and the values that ragwortfold keeps there.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct Objects(pub ::serde_json::Value);
impl ::std::ops::Deref for Objects {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<Objects> for ::serde_json::Value {
    fn from(value: Objects) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for Objects {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
///One revision kept at config/history/REVISION-ID. Written before the head; in force only if the head's chain of parents leads to it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Past {
    ///SHA-256 of each file's text, by the file's name.
    pub files: ::std::collections::BTreeMap<
        ::std::string::String,
        ::std::string::String,
    >,
    ///The identity of the change of the revision before; none for the first.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub parent: ::std::option::Option<::std::string::String>,
    pub step: Step,
}
///One revision in the order of revisions.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Step {
    pub change: Change,
    ///Names of the files that it changed, added or removed.
    pub files: ::std::vec::Vec<::std::string::String>,
    pub revision: u64,
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
