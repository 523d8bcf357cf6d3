use zinniahinge_types::Name;

/// Data centres whose engines may serve a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlaceScope<'a> {
    /// Names of the data centres; `None` for all.
    pub places: Option<&'a [Name]>,
}

impl PlaceScope<'_> {
    /// All data centres.
    pub const ALL: Self = Self { places: None };

    /// True if engines in the data centre may serve the request.
    pub fn contains(self, place: &Name) -> bool {
        self.places.is_none_or(|places| places.contains(place))
    }
}
