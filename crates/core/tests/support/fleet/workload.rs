//! One service and its traffic.

use std::time::Duration;

/// One service and its traffic.
#[derive(Clone, Debug)]
pub struct Workload {
    pub service: &'static str,
    pub servers: usize,
    pub slots: u32,
    /// Calls per second over all entries.
    pub rate: f64,
    /// Mean seconds of work at nominal speed.
    pub work: f64,
    pub objective: Duration,
    pub deadline: Duration,
    pub idempotent: bool,
    pub upload: bool,
}

impl Workload {
    /// Returns the three services of Brno, with their usual traffic times `load`.
    pub fn brno(load: f64) -> Vec<Self> {
        let ms = Duration::from_millis;
        vec![
            Self {
                service: "catalogue",
                servers: 22,
                slots: 2,
                rate: 61.0 * load,
                work: 0.16,
                objective: ms(400),
                deadline: ms(1_200),
                idempotent: true,
                upload: false,
            },
            Self {
                service: "orders",
                servers: 11,
                slots: 2,
                rate: 24.0 * load,
                work: 0.21,
                objective: ms(500),
                deadline: ms(1_500),
                idempotent: false,
                upload: false,
            },
            Self {
                service: "intake",
                servers: 6,
                slots: 2,
                rate: 7.0 * load,
                work: 0.19,
                objective: ms(600),
                deadline: ms(1_500),
                idempotent: false,
                upload: true,
            },
        ]
    }

    /// Returns the three services of Buenos Aires.
    pub fn buenos_aires(load: f64) -> Vec<Self> {
        let sizes = [(20, 249.0, 0.071, 200, 600), (10, 99.0, 0.092, 250, 800), (6, 32.0, 0.085, 300, 800)];
        let sized = Self::brno(1.0).into_iter().zip(sizes);
        sized
            .map(|(workload, (servers, rate, work, objective, deadline))| Self {
                servers,
                slots: 4,
                rate: rate * load,
                work,
                objective: Duration::from_millis(objective),
                deadline: Duration::from_millis(deadline),
                ..workload
            })
            .collect()
    }

    /// Returns the three services of Brno after its growth.
    pub fn brno_grown(load: f64) -> Vec<Self> {
        let sizes = [(199, 553.0, 400, 1_500), (101, 216.0, 500, 2_000), (26, 59.0, 1_000, 2_500)];
        let grown = Self::brno(1.0).into_iter().zip(sizes);
        grown
            .map(|(workload, (servers, rate, objective, deadline))| Self {
                servers,
                rate: rate * load,
                objective: Duration::from_millis(objective),
                deadline: Duration::from_millis(deadline),
                ..workload
            })
            .collect()
    }
}
