//! Graph of dependencies between services.

use {
    super::Configuration,
    crate::{collections::FastMap, ids::ServiceId},
};

/// Services by index, with the dependencies of each. Dependencies on unknown services are omitted.
///
/// The algorithms are not recursive, because a configuration of the permitted size can contain a chain long enough to
/// overflow the stack.
pub(super) struct DependencyGraph {
    pub(super) names: Vec<ServiceId>,
    dependencies: Vec<Vec<usize>>,
}

impl DependencyGraph {
    pub(super) fn new(config: &Configuration) -> Self {
        let mut names: Vec<ServiceId> = config.services.keys().cloned().collect();
        names.sort();
        let indices: FastMap<_, _> = names.iter().enumerate().map(|(index, name)| (name, index)).collect();
        let dependencies = names.iter().map(|name| {
            let dependencies = config.services[name].dependencies.iter();
            dependencies.filter_map(|other| indices.get(other).copied()).collect()
        });
        let dependencies = dependencies.collect();
        Self { names, dependencies }
    }

    /// Returns the number of services on the longest chain that starts at each service, or `None` if the chain leads to
    /// a cycle.
    pub(super) fn depths(&self) -> Vec<Option<usize>> {
        let mut dependents = vec![Vec::new(); self.names.len()];
        for (service, dependencies) in self.dependencies.iter().enumerate() {
            dependencies.iter().for_each(|other| dependents[*other].push(service));
        }
        let mut unresolved: Vec<_> = self.dependencies.iter().map(Vec::len).collect();
        let mut ready: Vec<_> = (0..self.names.len()).filter(|service| unresolved[*service] == 0).collect();
        let mut depths = vec![None; self.names.len()];
        while let Some(service) = ready.pop() {
            let deepest = self.dependencies[service].iter().filter_map(|other| depths[*other]).max();
            depths[service] = Some(deepest.unwrap_or(0) + 1);
            for dependent in &dependents[service] {
                unresolved[*dependent] -= 1;
                if unresolved[*dependent] == 0 {
                    ready.push(*dependent);
                }
            }
        }
        depths
    }

    /// Returns cycles, at least one for each group of services that depend on each other. The first name of a cycle is
    /// repeated at its end.
    pub(super) fn cycles(&self, depths: &[Option<usize>]) -> Vec<Vec<ServiceId>> {
        let mut cycles = Vec::new();
        // Start of the path on which each service was visited, and its position on the path.
        let mut visited: Vec<Option<(usize, usize)>> = vec![None; self.names.len()];
        for start in 0..self.names.len() {
            let mut path = Vec::new();
            let mut next = Some(start).filter(|service| depths[*service].is_none());
            while let Some(service) = next {
                if let Some((origin, position)) = visited[service] {
                    if origin == start {
                        let cycle = path[position..].iter().chain([&service]);
                        cycles.push(cycle.map(|service: &usize| self.names[*service].clone()).collect());
                    }
                    break;
                }
                visited[service] = Some((start, path.len()));
                path.push(service);
                next = self.dependencies[service].iter().copied().find(|other| depths[*other].is_none());
            }
        }
        cycles
    }
}
