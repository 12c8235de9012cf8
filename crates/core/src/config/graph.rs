//! The graph of dependencies between services.

use {
    super::Configuration,
    crate::{collections::FastMap, ids::ServiceId},
};

/// Services by number, with the services that each depends on. Names that the text lacks are left out.
///
/// Nothing here is recursive: a text of the permitted size can hold a chain that is far longer than a stack.
pub(super) struct Graph {
    pub(super) names: Vec<ServiceId>,
    depends: Vec<Vec<usize>>,
}

impl Graph {
    pub(super) fn new(text: &Configuration) -> Self {
        let mut names: Vec<ServiceId> = text.services.keys().cloned().collect();
        names.sort();
        let numbers: FastMap<_, _> = names.iter().enumerate().map(|(number, name)| (name, number)).collect();
        let depends = names.iter().map(|name| {
            let depends = text.services[name].dependencies.iter();
            depends.filter_map(|other| numbers.get(other).copied()).collect()
        });
        let depends = depends.collect();
        Self { names, depends }
    }

    /// Returns the number of services on the longest chain from each; none if that chain never ends.
    pub(super) fn depths(&self) -> Vec<Option<usize>> {
        let mut dependents = vec![Vec::new(); self.names.len()];
        for (service, depends) in self.depends.iter().enumerate() {
            depends.iter().for_each(|other| dependents[*other].push(service));
        }
        let mut missing: Vec<_> = self.depends.iter().map(Vec::len).collect();
        let mut ready: Vec<_> = (0..self.names.len()).filter(|service| missing[*service] == 0).collect();
        let mut depths = vec![None; self.names.len()];
        while let Some(service) = ready.pop() {
            let below = self.depends[service].iter().filter_map(|other| depths[*other]).max();
            depths[service] = Some(below.unwrap_or(0) + 1);
            for dependent in &dependents[service] {
                missing[*dependent] -= 1;
                if missing[*dependent] == 0 {
                    ready.push(*dependent);
                }
            }
        }
        depths
    }

    /// Returns cycles, at least one of each group of services that depend on each other. The first name of
    /// a cycle is repeated at its end.
    pub(super) fn cycles(&self, depths: &[Option<usize>]) -> Vec<Vec<ServiceId>> {
        let mut cycles = Vec::new();
        // Walk on which each service was met, and its place there.
        let mut met: Vec<Option<(usize, usize)>> = vec![None; self.names.len()];
        for start in 0..self.names.len() {
            let mut path = Vec::new();
            let mut next = Some(start).filter(|service| depths[*service].is_none());
            while let Some(service) = next {
                if let Some((walk, place)) = met[service] {
                    if walk == start {
                        let cycle = path[place..].iter().chain([&service]);
                        cycles.push(cycle.map(|service: &usize| self.names[*service].clone()).collect());
                    }
                    break;
                }
                met[service] = Some((start, path.len()));
                path.push(service);
                next = self.depends[service].iter().copied().find(|other| depths[*other].is_none());
            }
        }
        cycles
    }
}
