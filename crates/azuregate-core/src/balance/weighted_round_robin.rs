//! Smooth weighted round robin over the destinations of a route.

use super::Destination;

/// State of a smooth weighted round robin.
///
/// Deterministic, because random selection would miss the weights by several percent over a
/// few hundred requests.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the destination of the next request.
    ///
    /// Every destination is credited its weight; the one with the most credit is selected and
    /// debited the sum of all weights.
    pub fn next(&mut self, destinations: &[Destination]) -> usize {
        if destinations.len() < 2 {
            return 0;
        }
        self.credits.resize(destinations.len(), 0.0);
        let mut total = 0.0;
        for (credit, destination) in self.credits.iter_mut().zip(destinations) {
            *credit += destination.weight;
            total += destination.weight;
        }
        let eligible =
            self.credits.iter().enumerate().filter(|&(i, _)| destinations[i].weight > 0.0);
        let selected = eligible.max_by(|a, b| a.1.total_cmp(b.1)).map_or(0, |(i, _)| i);
        self.credits[selected] -= total;
        selected
    }
}
