//! Routes requests to a service by domain and path, and to an upstream by object.
//!
//! The operator's document defines routes and services; upstreams register themselves.
//! Every host computes the same homes of an object from the same view, so no message is
//! needed to agree on them.

mod allowance;
mod answer_evidence;
mod average;
mod bootstrap_tree;
mod caller_timeouts;
mod catalog;
mod change_report;
mod choice;
mod cold_sends;
mod customer;
mod document;
mod document_change;
mod estimate;
mod evacuations;
mod event_window;
mod expectation;
mod feed;
mod feed_rank;
mod feed_timing;
mod health;
mod heartbeat_targets;
mod home_index;
mod host_condition;
mod host_groups;
mod host_list;
mod host_message;
mod host_table;
mod host_use;
mod key_hash;
mod limit;
mod look_up_host;
mod look_up_hosts;
mod not_run_proof;
mod object_hash;
mod observed_state;
mod poll_schedule;
mod pool_part;
mod quantile;
mod recent_changes;
mod region_load;
mod region_pool;
mod region_sizes;
mod reported_upstream;
mod requirements;
mod response_times;
mod retry_grant;
mod retry_share;
mod rollout;
mod sends;
mod sent_objects;
mod service_pool;
mod short_share;
mod speed;
mod spread;
mod start_wait;
mod stop_timetable;
mod store_answers;
mod suspect;
mod table;
mod unavailable;
mod upstream;
mod upstream_paths;
mod upstream_state;
mod view;
mod work_mix;
mod zone_health;

pub use allowance::{
    AllowanceTolerance, GROUPS, KEEP_ALIVE, LeaseStep, PoolTime, TakeResult, TokenBound,
    TokenDemand, TokenGrant, TokenGroup, TokenLeases, TokenPool, TokenReply, TokenRequest,
    ZoneLoan, group_of,
};
pub use answer_evidence::{AnswerEvidence, AnswerVerdict, StatusMeaning};
pub use bootstrap_tree::BootstrapTree;
pub use caller_timeouts::{CallerAttempt, CallerTimeouts};
pub use catalog::{Catalog, CatalogChange};
pub use change_report::ChangeReport;
pub use choice::{Choice, acceptable_wait, choose};
pub use cold_sends::{ColdSends, cold_share};
pub use customer::{Allowance, AuthError, Credentials, Customer, CustomerTable, Sender};
pub use document::{CallerLimits, Route, RouteDocument, ServiceTerms, WeightedService};
pub use document_change::DocumentChange;
pub use estimate::{Affinity, Estimate, LastSent, WorkTime};
pub use evacuations::Evacuations;
pub use expectation::Expectation;
pub use feed::{Changes, Feed, FeedDigest, FeedUpdate, FeedVersion, Record};
pub use feed_rank::FeedRank;
pub use feed_timing::{
    FeedTiming, HOST_ANSWER_LIMIT, LAPSE_PROPAGATION_LIMIT, STORE_CALL_LIMIT, max_retry_pause,
};
pub use health::AnswerOutcome;
pub use heartbeat_targets::{HeartbeatTargets, heartbeat_targets};
pub use home_index::HomeIndex;
pub use host_condition::{HostCondition, MAX_CONDITION_AGE};
pub use host_groups::{MAX_GROUP_SIZE, host_groups};
pub use host_list::HostList;
pub use host_message::{HostMessage, HostReply};
pub use host_table::{HostTable, KnownHost};
pub use host_use::{HostUse, UseSample};
pub use key_hash::KeyHash;
pub use limit::{
    HolderSelector, LimitReply, LimitTokenRequest, LimitTokens, LimitTolerance, MAX_HOLDERS,
    ShareChange, holder_share, holders,
};
pub use look_up_host::LookUpHost;
pub use look_up_hosts::look_up_hosts;
pub use not_run_proof::{NotRunEvidence, NotRunProof, RefusalProof};
pub use object_hash::{object_hash, unit_hash};
pub use observed_state::ObservedState;
pub use poll_schedule::{PollSchedule, UpdateKind};
pub use pool_part::PoolPart;
pub use quantile::Quantile;
pub use recent_changes::RecentChanges;
pub use region_load::RegionLoad;
pub use region_pool::RegionPool;
pub use region_sizes::RegionSizes;
pub use reported_upstream::{ReportedUpstream, UpstreamId};
pub use requirements::Requirements;
pub use response_times::ResponseTimes;
pub use retry_grant::RetryGrant;
pub use retry_share::RetryShare;
pub use rollout::{
    ActiveRollout, AnswerCounts, AnswerQuality, Coordinator, Evidence, ExposureBound, HostProgress,
    Incumbent, IncumbentReason, LastResort, ListCondition, OrderError, RolloutOrder, RolloutReason,
    RolloutStage, RolloutStatus, RolloutStop, Rollouts, RouteCounts, ServiceVersions,
    SoftwareVersion, StageChange, StoreClock, Succession, TrialShare, Verdict, VersionRule,
    VersionUpstreams, VersionUsage,
};
pub use sends::{RetryDecision, SendOutcome, Sends};
pub use sent_objects::SentObjects;
pub use service_pool::{ServicePool, ServiceRollout, StatementCounts};
pub use short_share::ShortShare;
pub use speed::Speed;
pub use spread::{RegionShare, WeightedRoundRobin, share_by_capacity};
pub use start_wait::start_wait;
pub use stop_timetable::StopTimetable;
pub use store_answers::{StoreAnswers, StoreUptime};
pub use suspect::{
    AbandonedRequests, Admission, CRASHES_TO_REFUSE, RefusedWork, Suspects, WorkDigest, WorkEvent,
    WorkIdentity, WorkKey, WorkParts, WorkRank, WorkState, WorkUpdate,
};
pub use table::RouteTable;
pub use unavailable::{Unavailable, UnavailableCause};
pub use upstream::Upstream;
pub use upstream_paths::{
    CheckResult, ConnectPlan, DirectResult, PathChange, Place, RelayAdmission, RelayDecision,
    RelayHost, RelayRecords, UpstreamPaths, ZonePath, max_relays, relay_order, relay_wait,
};
pub use upstream_state::UpstreamState;
pub use view::RouteView;
pub use work_mix::{WorkLength, WorkMix};
pub use zone_health::{ZoneChange, ZoneHealth};
