//! Requests that one instance sends on the account of another one's part of a rate limit.

use crate::{
    balance::{BackendHandle, BackendQuery, BackendRun, Balancer, Choice, Member, Members},
    names::BackendId,
};

/// A question to the holder of a part of a rate limit: may one request be sent?
#[derive(Clone, Debug, PartialEq)]
pub struct GrantRequest {
    /// The server.
    pub handle: BackendHandle,
    /// Its name.
    pub backend: BackendId,
    /// The run that named the limit.
    pub run: BackendRun,
    /// The instance to ask.
    pub holder: Member,
}

impl Balancer {
    /// Returns whom to ask for a request that is refused otherwise, if a server has room but for its
    /// rate limit. `random` chooses among the instances that have a part.
    ///
    /// Asking costs a round trip, so it is worth while only if no other server has room.
    pub fn grant_request(
        &self,
        query: &BackendQuery<'_>,
        members: &Members,
        random: u64,
        now_ms: u64,
    ) -> Option<GrantRequest> {
        let limited = self.limited_states(query, now_ms);
        let state = limited
            .filter(|state| state.rate_limit.limit_per_s() > Some(0.0))
            .max_by_key(|state| state.hash(query.object))?;
        let holders = state.rate_limit.holders().iter();
        let live: Vec<&Member> =
            holders.filter_map(|holder| members.live_other(holder.as_str(), now_ms)).collect();
        let index = usize::try_from(random).unwrap_or_default().checked_rem(live.len())?;
        Some(GrantRequest {
            handle: state.handle,
            backend: state.backend.id.clone(),
            run: state.run,
            holder: live[index].clone(),
        })
    }

    /// Takes a request from this instance's part of a limit on behalf of another instance; returns
    /// whether that one may send it.
    pub fn grant(&mut self, run: BackendRun, now_ms: u64) -> bool {
        let state = self.backends_mut().find(|state| state.run == run);
        state.is_some_and(|state| state.rate_limit.try_take(now_ms))
    }

    /// Chooses a server for a request that another instance has granted, unless something else than
    /// its rate limit excludes the server by now. Counts the request there until
    /// [`Balancer::complete`].
    pub fn choose_granted(
        &mut self,
        query: &BackendQuery<'_>,
        handle: BackendHandle,
        now_ms: u64,
    ) -> Option<Choice> {
        let is_eligible = self.is_eligible(query, handle, now_ms);
        let state = self.backend_state_mut(handle).filter(|_| is_eligible)?;
        Some(state.start_request(now_ms))
    }
}
