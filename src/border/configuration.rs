#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]
///`AvailabilityZone`
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct AvailabilityZone {
    pub region: ::std::string::String,
    #[serde(default = "defaults::availability_zone_state")]
    pub state: State,
}
///The largest share of traffic that may move within any window.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Cap {
    pub share: f64,
    pub window_s: ::std::num::NonZeroU32,
}
///Where the callers of an address block are.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Client {
    pub region: ::std::string::String,
}
///The merged configuration of the whole system.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub availability_zones: ::std::collections::BTreeMap<
        ::std::string::String,
        AvailabilityZone,
    >,
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub clients: ::std::collections::BTreeMap<::std::string::String, Client>,
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub hosts: ::std::collections::BTreeMap<::std::string::String, Host>,
    #[serde(default = "defaults::configuration_limits")]
    pub limits: Limits,
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub links: ::std::collections::BTreeMap<::std::string::String, Link>,
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub regions: ::std::collections::BTreeMap<::std::string::String, Region>,
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub services: ::std::collections::BTreeMap<::std::string::String, Service>,
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub targets: ::std::collections::BTreeMap<::std::string::String, Target>,
}
impl ::std::default::Default for Configuration {
    fn default() -> Self {
        Self {
            availability_zones: Default::default(),
            clients: Default::default(),
            hosts: Default::default(),
            limits: defaults::configuration_limits(),
            links: Default::default(),
            regions: Default::default(),
            services: Default::default(),
            targets: Default::default(),
        }
    }
}
///An entry host.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Host {
    ///Where callers connect, IP:PORT.
    pub address: ::std::string::String,
    pub availability_zone: ::std::string::String,
    ///Where other entry hosts connect, IP:PORT.
    pub peer_address: ::std::string::String,
    #[serde(default = "defaults::host_state")]
    pub state: State,
}
///`Limits`
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    ///Hedged requests allowed, as a share of requests.
    #[serde(default = "defaults::limits_hedge_share")]
    pub hedge_share: f64,
    ///How long callers may keep a look-up's answer, in milliseconds.
    #[serde(default = "defaults::default_u64::<u32, 2000>")]
    pub lookup_ttl_ms: u32,
    ///Retries allowed, as a share of requests.
    #[serde(default = "defaults::limits_retry_share")]
    pub retry_share: f64,
    ///Caps by name: 'default', 'failover', or the name of a service.
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub shift: ::std::collections::BTreeMap<::std::string::String, Cap>,
    ///The part of a capacity that steering may fill.
    #[serde(default = "defaults::limits_utilization")]
    pub utilization: f64,
}
impl ::std::default::Default for Limits {
    fn default() -> Self {
        Self {
            hedge_share: defaults::limits_hedge_share(),
            lookup_ttl_ms: defaults::default_u64::<u32, 2000>(),
            retry_share: defaults::limits_retry_share(),
            shift: Default::default(),
            utilization: defaults::limits_utilization(),
        }
    }
}
///The limits of one direction between two regions.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Link {
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 1000000000>")]
    pub bytes_per_s: ::std::num::NonZeroU64,
    pub from: ::std::string::String,
    ///One way, in milliseconds.
    #[serde(default = "defaults::link_latency_ms")]
    pub latency_ms: f64,
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 1000000>")]
    pub requests_per_s: ::std::num::NonZeroU64,
    pub to: ::std::string::String,
}
///`Region`
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Region {
    #[serde(default = "defaults::region_state")]
    pub state: State,
}
impl ::std::default::Default for Region {
    fn default() -> Self {
        Self {
            state: defaults::region_state(),
        }
    }
}
///`Service`
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Service {
    ///The traffic class in metrics and queues.
    pub class: ::std::string::String,
    ///Time for a request whose caller states none, in milliseconds.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 1000>")]
    pub deadline_ms: ::std::num::NonZeroU32,
    ///Whether a request may be sent again after it may have run.
    #[serde(default)]
    pub idempotent: bool,
    ///Largest request body, in bytes.
    #[serde(default = "defaults::default_u64::<u64, 16777216>")]
    pub max_body_bytes: u64,
    ///Which class keeps its place when a queue is full; 0 goes last.
    #[serde(default = "defaults::default_u64::<u8, 5>")]
    pub priority: u8,
}
///Whether new work may go to a place or a target.
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
    #[serde(rename = "draining")]
    Draining,
    #[serde(rename = "off")]
    Off,
}
impl ::std::fmt::Display for State {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Serving => f.write_str("serving"),
            Self::Draining => f.write_str("draining"),
            Self::Off => f.write_str("off"),
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
            "draining" => Ok(Self::Draining),
            "off" => Ok(Self::Off),
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
impl ::std::default::Default for State {
    fn default() -> Self {
        State::Serving
    }
}
///`Target`
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Target {
    pub address: ::std::string::String,
    pub availability_zone: ::std::string::String,
    ///Connections it accepts.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 400>")]
    pub connections: ::std::num::NonZeroU32,
    pub service: ::std::string::String,
    ///Requests it runs at once.
    pub slots: ::std::num::NonZeroU32,
    #[serde(default = "defaults::target_state")]
    pub state: State,
    ///Time over which a cold target is brought to full use, in seconds.
    #[serde(default = "defaults::default_u64::<u32, 10>")]
    pub warm_s: u32,
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_i64<T, const V: i64>() -> T
    where
        T: ::std::convert::TryFrom<i64>,
        <T as ::std::convert::TryFrom<i64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
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
    pub(super) fn availability_zone_state() -> super::State {
        super::State::Serving
    }
    pub(super) fn configuration_limits() -> super::Limits {
        super::Limits {
            hedge_share: 0.05_f64,
            lookup_ttl_ms: 2000_u32,
            retry_share: 0.1_f64,
            shift: [].into_iter().collect(),
            utilization: 0.8_f64,
        }
    }
    pub(super) fn host_state() -> super::State {
        super::State::Serving
    }
    pub(super) fn limits_hedge_share() -> f64 {
        0.05_f64
    }
    pub(super) fn limits_retry_share() -> f64 {
        0.1_f64
    }
    pub(super) fn limits_utilization() -> f64 {
        0.8_f64
    }
    pub(super) fn link_latency_ms() -> f64 {
        50.0_f64
    }
    pub(super) fn region_state() -> super::State {
        super::State::Serving
    }
    pub(super) fn target_state() -> super::State {
        super::State::Serving
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
