#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]
///`Format`
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
pub enum Format {
    #[serde(rename = "text")]
    Text,
    #[serde(rename = "json")]
    Json,
}
impl ::std::fmt::Display for Format {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Text => f.write_str("text"),
            Self::Json => f.write_str("json"),
        }
    }
}
impl ::std::str::FromStr for Format {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Format {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Format {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for Format {
    fn default() -> Self {
        Format::Text
    }
}
///`Level`
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
pub enum Level {
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "warn")]
    Warn,
    #[serde(rename = "info")]
    Info,
    #[serde(rename = "debug")]
    Debug,
    #[serde(rename = "trace")]
    Trace,
}
impl ::std::fmt::Display for Level {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Error => f.write_str("error"),
            Self::Warn => f.write_str("warn"),
            Self::Info => f.write_str("info"),
            Self::Debug => f.write_str("debug"),
            Self::Trace => f.write_str("trace"),
        }
    }
}
impl ::std::str::FromStr for Level {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Level {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Level {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for Level {
    fn default() -> Self {
        Level::Info
    }
}
///`Log`
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Log {
    #[serde(default = "defaults::log_format")]
    pub format: Format,
    #[serde(default = "defaults::log_level")]
    pub level: Level,
}
impl ::std::default::Default for Log {
    fn default() -> Self {
        Self {
            format: defaults::log_format(),
            level: defaults::log_level(),
        }
    }
}
///`Pick`
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
pub enum Pick {
    #[serde(rename = "round_robin")]
    RoundRobin,
    #[serde(rename = "least_in_flight")]
    LeastInFlight,
    #[serde(rename = "two_choices")]
    TwoChoices,
}
impl ::std::fmt::Display for Pick {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::RoundRobin => f.write_str("round_robin"),
            Self::LeastInFlight => f.write_str("least_in_flight"),
            Self::TwoChoices => f.write_str("two_choices"),
        }
    }
}
impl ::std::str::FromStr for Pick {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "round_robin" => Ok(Self::RoundRobin),
            "least_in_flight" => Ok(Self::LeastInFlight),
            "two_choices" => Ok(Self::TwoChoices),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Pick {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Pick {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for Pick {
    fn default() -> Self {
        Pick::TwoChoices
    }
}
///Threads, buffers and limits.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    ///Requests that may wait for a worker.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 256>")]
    pub backlog: ::std::num::NonZeroU32,
    ///Largest body kept so that it can be sent again, in bytes.
    #[serde(default = "defaults::default_u64::<u32, 1048576>")]
    pub buffer_bytes: u32,
    ///Time to open a connection to a target, in milliseconds.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 250>")]
    pub connect_ms: ::std::num::NonZeroU32,
    ///Largest sum of a request's header names and values, in bytes.
    #[serde(default = "defaults::default_u64::<u32, 32768>")]
    pub head_bytes: u32,
    ///Silence after which a caller's connection is closed, in milliseconds.
    #[serde(default = "defaults::default_u64::<u32, 30000>")]
    pub idle_ms: u32,
    ///Threads kept for look-ups, health, metrics and status.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 4>")]
    pub lookup_workers: ::std::num::NonZeroU32,
    ///Memory that the process may use, in megabytes; 0 for that of the machine.
    #[serde(default)]
    pub memory_mb: u32,
    ///The limit of open files to ask the system for.
    #[serde(default = "defaults::default_u64::<u32, 8192>")]
    pub open_files: u32,
    ///Threads that carry other hosts' requests.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 128>")]
    pub relay_workers: ::std::num::NonZeroU32,
    ///Threads that carry callers' requests.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 128>")]
    pub workers: ::std::num::NonZeroU32,
}
impl ::std::default::Default for Pool {
    fn default() -> Self {
        Self {
            backlog: defaults::default_nzu64::<::std::num::NonZeroU32, 256>(),
            buffer_bytes: defaults::default_u64::<u32, 1048576>(),
            connect_ms: defaults::default_nzu64::<::std::num::NonZeroU32, 250>(),
            head_bytes: defaults::default_u64::<u32, 32768>(),
            idle_ms: defaults::default_u64::<u32, 30000>(),
            lookup_workers: defaults::default_nzu64::<::std::num::NonZeroU32, 4>(),
            memory_mb: Default::default(),
            open_files: defaults::default_u64::<u32, 8192>(),
            relay_workers: defaults::default_nzu64::<::std::num::NonZeroU32, 128>(),
            workers: defaults::default_nzu64::<::std::num::NonZeroU32, 128>(),
        }
    }
}
///The settings of one entry host.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub availability_zone: ::std::string::String,
    ///Time from SIGTERM within which the process ends, in milliseconds.
    #[serde(default = "defaults::default_u64::<u32, 30000>")]
    pub grace_ms: u32,
    ///The host's name in the configuration.
    pub host: ::std::string::String,
    ///Where callers connect, IP:PORT.
    pub listen: ::std::string::String,
    #[serde(default = "defaults::settings_log")]
    pub log: Log,
    ///Where other entry hosts connect, IP:PORT.
    pub peer_listen: ::std::string::String,
    ///The secret that all entry hosts share.
    pub peer_secret: ::std::string::String,
    ///The base URL of the platform's object API.
    pub platform: ::std::string::String,
    #[serde(default = "defaults::settings_pool")]
    pub pool: Pool,
    #[serde(default = "defaults::settings_steer")]
    pub steer: Steer,
}
///Switches of single mechanisms, for measurement.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Steer {
    #[serde(default = "defaults::steer_affinity")]
    pub affinity: Switch,
    #[serde(default = "defaults::steer_hedge")]
    pub hedge: Switch,
    #[serde(default = "defaults::steer_pick")]
    pub pick: Pick,
    #[serde(default = "defaults::steer_quota")]
    pub quota: Switch,
    #[serde(default = "defaults::steer_retry_budget")]
    pub retry_budget: Switch,
    #[serde(default = "defaults::steer_warm")]
    pub warm: Switch,
}
impl ::std::default::Default for Steer {
    fn default() -> Self {
        Self {
            affinity: defaults::steer_affinity(),
            hedge: defaults::steer_hedge(),
            pick: defaults::steer_pick(),
            quota: defaults::steer_quota(),
            retry_budget: defaults::steer_retry_budget(),
            warm: defaults::steer_warm(),
        }
    }
}
///`Switch`
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
pub enum Switch {
    #[serde(rename = "on")]
    On,
    #[serde(rename = "off")]
    Off,
}
impl ::std::fmt::Display for Switch {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::On => f.write_str("on"),
            Self::Off => f.write_str("off"),
        }
    }
}
impl ::std::str::FromStr for Switch {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "on" => Ok(Self::On),
            "off" => Ok(Self::Off),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Switch {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Switch {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for Switch {
    fn default() -> Self {
        Switch::On
    }
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
    pub(super) fn log_format() -> super::Format {
        super::Format::Text
    }
    pub(super) fn log_level() -> super::Level {
        super::Level::Info
    }
    pub(super) fn settings_log() -> super::Log {
        super::Log {
            format: super::Format::Text,
            level: super::Level::Info,
        }
    }
    pub(super) fn settings_pool() -> super::Pool {
        super::Pool {
            backlog: ::std::num::NonZeroU32::new(256).unwrap(),
            buffer_bytes: 1048576_u32,
            connect_ms: ::std::num::NonZeroU32::new(250).unwrap(),
            head_bytes: 32768_u32,
            idle_ms: 30000_u32,
            lookup_workers: ::std::num::NonZeroU32::new(4).unwrap(),
            memory_mb: 0_u32,
            open_files: 8192_u32,
            relay_workers: ::std::num::NonZeroU32::new(128).unwrap(),
            workers: ::std::num::NonZeroU32::new(128).unwrap(),
        }
    }
    pub(super) fn settings_steer() -> super::Steer {
        super::Steer {
            affinity: super::Switch::On,
            hedge: super::Switch::On,
            pick: super::Pick::TwoChoices,
            quota: super::Switch::On,
            retry_budget: super::Switch::On,
            warm: super::Switch::On,
        }
    }
    pub(super) fn steer_affinity() -> super::Switch {
        super::Switch::On
    }
    pub(super) fn steer_hedge() -> super::Switch {
        super::Switch::On
    }
    pub(super) fn steer_pick() -> super::Pick {
        super::Pick::TwoChoices
    }
    pub(super) fn steer_quota() -> super::Switch {
        super::Switch::On
    }
    pub(super) fn steer_retry_budget() -> super::Switch {
        super::Switch::On
    }
    pub(super) fn steer_warm() -> super::Switch {
        super::Switch::On
    }
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
