use smallvec::SmallVec;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

/// Data centres that operators have evacuated: no request may be sent to a backend server there until they take it back.
///
/// Load pattern: at the peak, all servers of a data centre drop out at once and come back together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedPlaces {
    evacuated: SmallVec<[Name; 2]>,
    /// Evacuated places that the store's copy lacks, each with the time until which the evacuation holds unless operators
    /// write it again.
    held: SmallVec<[(Name, MonotonicTime); 2]>,
    /// Last end of each evacuation that this host saw.
    ended: SmallVec<[(Name, MonotonicTime); 2]>,
}

impl EvacuatedPlaces {
    /// Begins an evacuation; returns false if the place is evacuated already.
    pub fn begin(&mut self, place: &Name) -> bool {
        self.held.retain(|(known, _)| *known != *place);
        if self.contains(place) {
            return false;
        }
        self.evacuated.push(place.clone());
        true
    }

    /// Ends an evacuation at `now`; returns false if the place isn't evacuated.
    pub fn end(&mut self, place: &str, now: MonotonicTime) -> bool {
        let Some(index) = self.evacuated.iter().position(|known| **known == *place) else {
            return false;
        };
        let place = self.evacuated.remove(index);
        self.held.retain(|(known, _)| *known != place);
        self.ended.retain(|(known, _)| *known != place);
        self.ended.push((place, now));
        true
    }

    /// Replaces the evacuated places by those of a complete listing; returns the places whose evacuation began, and those
    /// whose evacuation has ended by `now`.
    pub fn replace(&mut self, places: &[Name], now: MonotonicTime) -> (Vec<Name>, Vec<Name>) {
        let known = self.evacuated.clone();
        let gone = known
            .into_iter()
            .filter(|place| !places.contains(place) && !self.is_held(place, now));
        let ended: Vec<Name> = gone.collect();
        for place in &ended {
            self.end(place, now);
        }
        let begun = places.iter().filter(|place| self.begin(place)).cloned();
        (begun.collect(), ended)
    }

    /// Lets evacuations that are not among `places`, which a store that returned from a copy lists, hold until `until`.
    pub fn hold_missing(&mut self, places: &[Name], until: MonotonicTime) {
        let missing = self.evacuated.iter();
        let missing = missing.filter(|place| !places.contains(place)).cloned();
        self.held = missing.map(|place| (place, until)).collect();
    }

    /// Ends held evacuations that operators did not write again in time; returns their places.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<Name> {
        let held = self.held.clone().into_iter();
        let expired = held.filter(|(_, until)| *until <= now);
        let expired: Vec<Name> = expired.map(|(place, _)| place).collect();
        for place in &expired {
            self.end(place, now);
        }
        expired
    }

    fn is_held(&self, place: &Name, now: MonotonicTime) -> bool {
        let mut held = self.held.iter();
        held.any(|(known, until)| known == place && now < *until)
    }

    /// True if nothing may be sent to the place.
    pub fn contains(&self, place: &str) -> bool {
        self.evacuated.iter().any(|known| **known == *place)
    }

    /// When the place's last evacuation ended, as far as this host saw it; `None` if it saw no end.
    pub fn ended_at(&self, place: &str) -> Option<MonotonicTime> {
        let mut ended = self.ended.iter();
        ended.find_map(|(known, at)| (**known == *place).then_some(*at))
    }

    /// Number of evacuated places.
    pub fn count(&self) -> usize {
        self.evacuated.len()
    }
}
