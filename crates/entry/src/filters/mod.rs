//! The filters, in the order in which a request passes them.

mod authentication;
mod charge;
mod deadline;
mod idempotency;
mod route;

pub use authentication::check_account;

use crate::filter_chain::FilterChain;
use crate::filter_chain::RequestFilter;

/// All filters in order. The charge comes after the idempotency key, so that a repeat that is answered from the
/// record costs no tokens.
pub fn standard_chain() -> FilterChain {
    FilterChain::new(vec![
        RequestFilter {
            name: "route",
            apply: |s, c| Box::pin(async { route::apply(s, c) }),
        },
        RequestFilter {
            name: "authentication",
            apply: |s, c| Box::pin(async { authentication::apply(s, c) }),
        },
        RequestFilter {
            name: "deadline",
            apply: |s, c| Box::pin(async { deadline::apply(s, c) }),
        },
        RequestFilter {
            name: "idempotency",
            apply: |s, c| Box::pin(idempotency::apply(s, c)),
        },
        RequestFilter {
            name: "charge",
            apply: |s, c| Box::pin(charge::apply(s, c)),
        },
    ])
}
