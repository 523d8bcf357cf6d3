use smallvec::SmallVec;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

/// Data centres that operators have evacuated: no request may be sent to a backend server there until they take it back.
///
/// Load pattern: at the peak, all servers of a data centre drop out at once and come back together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedPlaces {
    evacuated: SmallVec<[Name; 2]>,
    /// Last end of each evacuation that this host saw.
    ended: SmallVec<[(Name, MonotonicTime); 2]>,
}

impl EvacuatedPlaces {
    /// Begins an evacuation; returns false if the place is evacuated already.
    pub fn begin(&mut self, place: &Name) -> bool {
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
        self.ended.retain(|(known, _)| *known != place);
        self.ended.push((place, now));
        true
    }

    /// Replaces the evacuated places by those of a complete listing; returns the places whose evacuation began, and those
    /// whose evacuation has ended by `now`.
    pub fn replace(&mut self, places: &[Name], now: MonotonicTime) -> (Vec<Name>, Vec<Name>) {
        let known = self.evacuated.clone();
        let gone = known.into_iter().filter(|place| !places.contains(place));
        let ended: Vec<Name> = gone.collect();
        for place in &ended {
            self.end(place, now);
        }
        let begun = places.iter().filter(|place| self.begin(place)).cloned();
        (begun.collect(), ended)
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
