use zinniahinge_types::Name;

/// Regions in which a request may run: the homes of its route and those of its client account. Both bind where both are
/// given; an empty list restricts nothing.
///
/// Load pattern: the servers of the homes are full while those of other regions are idle.
#[derive(Clone, Copy, Debug)]
pub struct HomeRule<'a> {
    /// Homes of the route.
    pub route: &'a [Name],
    /// Homes of the client account.
    pub account: &'a [Name],
}

impl HomeRule<'_> {
    /// True if the request may run in every region.
    pub fn is_open(&self) -> bool {
        self.route.is_empty() && self.account.is_empty()
    }

    /// True if the request may run in the region. `None`, an unknown region, is outside all homes.
    pub fn allows(&self, region: Option<&Name>) -> bool {
        [self.route, self.account]
            .into_iter()
            .all(|homes| homes.is_empty() || region.is_some_and(|region| homes.contains(region)))
    }

    /// Regions in which the request may run; `None` for every one. An empty list allows none.
    pub fn regions(&self) -> Option<Vec<Name>> {
        let homes = self.route.iter().chain(self.account);
        let mut regions: Vec<Name> = homes
            .filter(|region| self.allows(Some(region)))
            .cloned()
            .collect();
        regions.sort();
        regions.dedup();
        (!self.is_open()).then_some(regions)
    }
}
