//! Routes requests to a service by domain and path, and to an upstream by object.
//!
//! The operator's document defines routes and services; upstreams register themselves.
//! Every host computes the same homes of an object from the same view, so no message is
//! needed to agree on them.

mod allowance;
mod average;
mod catalog;
mod choice;
mod condition;
mod customer;
mod document;
mod document_change;
mod estimate;
mod expectation;
mod fate;
mod feed;
mod groups;
mod health;
mod holding;
mod homes;
mod host_list;
mod host_message;
mod key_hash;
mod lead;
mod limit;
mod news_timing;
mod no_room;
mod pace;
mod patience;
mod quantile;
mod recent;
mod region_load;
mod roll;
mod speed;
mod spread;
mod store_answers;
mod suspect;
mod table;
mod upstream;
mod view;
mod wish;
mod zone_condition;

pub use allowance::{
    AllowanceTerms, GROUPS, KEEP_ALIVE, Spared, Stamp, Step, Take, TokenAsk, TokenBound,
    TokenGrant, TokenGroup, TokenLeases, TokenPool, TokenReply, TokenWant, group_of,
};
pub use catalog::{Catalog, CatalogChange};
pub use choice::{Choice, choose};
pub use condition::Condition;
pub use customer::{Allowance, Credentials, Customer, CustomerTable, NoAccess, Sender};
pub use document::{CallerLimits, Part, Route, RouteDocument, ServiceTerms};
pub use document_change::DocumentChange;
pub use estimate::{Estimate, Familiarity, Standing, Work};
pub use expectation::Expectation;
pub use fate::{Fate, Sent, after};
pub use feed::{Changes, Feed, FeedDigest, FeedVersion, News, Record};
pub use groups::groups;
pub use health::Answered;
pub use holding::Holding;
pub use homes::{object_hash, place, rank};
pub use host_list::HostList;
pub use host_message::{HostMessage, HostReply};
pub use key_hash::KeyHash;
pub use lead::{Lead, Use};
pub use limit::{
    HOLDERS_MOST, LimitAsk, LimitAsks, LimitReply, LimitTerms, LimitTokens, PartChange, holders,
    limit_part,
};
pub use news_timing::{
    HOST_ANSWER_LIMIT, LAPSES_TOLD_WITHIN, NewsTiming, STORE_CALL_LIMIT, pause_most,
};
pub use no_room::{Lack, NoRoom};
pub use pace::{ColdPart, RepeatPart, Try, cold_share};
pub use patience::Patience;
pub use quantile::Quantile;
pub use recent::Recent;
pub use region_load::RegionLoad;
pub use roll::{KnownHost, Roll};
pub use speed::Speed;
pub use spread::{PartSpread, RegionSpread, share_by_room};
pub use store_answers::{Answering, StoreAnswers};
pub use suspect::{
    Abandoned, Admission, ENDS_REFUSED, RefusedWork, Suspects, WorkDigest, WorkIdentity, WorkKey,
    WorkNews, WorkParts, WorkRank, WorkState, WorkTold,
};
pub use table::RouteTable;
pub use upstream::{ReportedUpstream, UpstreamId};
pub use view::{
    Conditions, Evacuations, RegionPool, RouteView, ServicePool, StatedCounts, Upstream,
};
pub use wish::Wish;
pub use zone_condition::ZoneCondition;
