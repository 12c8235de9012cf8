//! Runs scripts.

use {
    super::{Rule, Step, World, WorldOptions, sample_config},
    hemlockford_core::{
        control::{Answer, ClaimAnswer, ControlEvent, SubmitAnswer},
        ids::ChangeNumber,
        ledger::ClaimKey,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Time limit for an answer: the maximum request timeout plus 1 s.
const ANSWER_LIMIT: Duration = Duration::from_secs(11);

/// Default time limit of an expected state, if there is no `within=`.
const EXPECT_LIMIT: Duration = Duration::from_secs(5);

/// Default deadline of a claim, if there is no `deadline=`.
const CLAIM_DEADLINE: Duration = Duration::from_secs(3);

/// Runs a script; the error names the line of the first step that failed.
pub fn run(source: &str) -> Result<(), String> {
    let steps = Step::parse_all(source);
    let mut script = Script::new(&steps)?;
    for step in &steps {
        script.step(step).map_err(|e| format!("line {}: {}: {e}", step.line, step.verb))?;
    }
    Ok(())
}

struct Script {
    world: World,
    /// Started requests by name: node and request ID.
    started: BTreeMap<Box<str>, (usize, u64)>,
}

impl Script {
    fn new(steps: &[Step]) -> Result<Self, String> {
        let step = steps.iter().find(|step| &*step.verb == "instances").ok_or("step `instances` is missing")?;
        let seed = steps
            .iter()
            .find(|step| &*step.verb == "seed")
            .map_or(Ok(1), |step| step.word(0)?.parse().map_err(|_| "seed must be a number".to_string()))?;
        let count = |text: &str| text.parse().map_err(|_| format!("line {}: {text} is not a number", step.line));
        let replicas = match step.words.get(2) {
            Some(replicas) => count(replicas)?,
            None => 1,
        };
        let options = WorldOptions { instances: count(step.word(0)?)?, replicas, seed };
        Ok(Self { world: World::new(options), started: BTreeMap::new() })
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        match &*step.verb {
            "instances" | "seed" => Ok(()),
            "start" | "restart" => self.for_each_instance(step, World::start),
            "kill" => self.for_each_instance(step, World::kill),
            "lose-disk" => self.for_each_instance(step, World::lose_disk),
            "freeze" => self.for_each_instance(step, World::freeze),
            "wake" => self.for_each_instance(step, World::resume),
            "stop" => self.for_each_instance(step, |world, node| world.handle_event(node, ControlEvent::Stop)),
            "cut" => self.for_pair(step, |world, a, b| {
                world.network.cut(a, b);
                world.network.cut(b, a);
            }),
            "cut-one-way" => self.for_pair(step, |world, a, b| world.network.cut(a, b)),
            "isolate" => self.for_each_instance(step, |world, node| {
                for other in 0..world.nodes.len() {
                    world.network.cut(node, other);
                    world.network.cut(other, node);
                }
            }),
            "heal" if step.words.is_empty() => {
                self.world.network.heal_all();
                Ok(())
            }
            "heal" => self.for_pair(step, |world, a, b| {
                world.network.heal(a, b);
                world.network.heal(b, a);
            }),
            "heal-everything" => {
                self.world.heal_everything();
                Ok(())
            }
            "drop" | "delay" | "repeat" => self.rule(step),
            "run" => self.world.run(Step::duration(step.word(0)?)?),
            "submit" => self.submit(step),
            "submit-many" => self.submit_many(step),
            "submit-start" => self.submit_start(step).map(drop),
            "expect-submit" => self.expect_submit(step),
            "claim" => self.claim(step),
            "claim-start" => self.claim_start(step).map(drop),
            "expect-claim" => self.expect_claim(step),
            "settle" => self.settle(step),
            "release" => {
                let node = self.node(step.word(0)?)?;
                let key = key(step)?;
                self.world
                    .release(node, &key)
                    .then_some(())
                    .ok_or_else(|| "no claim is granted to this instance".into())
            }
            "announce" => {
                let entry = self.node(step.required("entry")?)?;
                let state = step.server_state()?;
                self.world.announce(step.word(0)?, step.required("service")?, entry, state);
                Ok(())
            }
            "announce-late" => {
                let entry = self.node(step.required("entry")?)?;
                let delay = Step::duration(step.required("by")?)?.as_millis() as u64;
                self.world
                    .announce_late(step.word(0)?, entry, delay)
                    .then_some(())
                    .ok_or_else(|| "unknown server".into())
            }
            "leave" => {
                let entry = step.named("entry").map(|name| self.node(name)).transpose()?;
                self.world.leave(step.word(0)?, entry).then_some(()).ok_or_else(|| "unknown server".into())
            }
            "silence" => self.world.silence(step.word(0)?).then_some(()).ok_or_else(|| "unknown server".into()),
            "expect" => self.expect(step),
            "check-final" => {
                // Followers learn the commit index with the next heartbeat.
                self.world.run_for(EXPECT_LIMIT, |world| world.check_final().is_ok())?;
                self.world.check_final()
            }
            _ => Err("unknown step".into()),
        }
    }

    /// Returns the number of an instance named as in `e1`, `leader` or `follower`.
    fn node(&self, name: &str) -> Result<usize, String> {
        let leader = || self.world.leader().ok_or("there is no leader");
        match name {
            "leader" => Ok(leader()?),
            "follower" => {
                let leader = leader()?;
                let is_follower = |node: &usize| *node != leader && self.world.nodes[*node].disk.is_some();
                (0..self.world.nodes.len()).find(is_follower).ok_or_else(|| "there is no follower".into())
            }
            _ => {
                let known = self.world.nodes.iter().position(|node| &*node.id == name);
                known.ok_or_else(|| format!("unknown instance {name}"))
            }
        }
    }

    /// Applies an action to each given instance, or to all instances if none is given.
    fn for_each_instance(&mut self, step: &Step, act: impl Fn(&mut World, usize)) -> Result<(), String> {
        let named = step.words.iter().map(|name| self.node(name)).collect::<Result<Vec<_>, _>>()?;
        let all = (0..self.world.nodes.len()).collect();
        for node in if named.is_empty() { all } else { named } {
            act(&mut self.world, node);
        }
        Ok(())
    }

    fn for_pair(&mut self, step: &Step, act: impl Fn(&mut World, usize, usize)) -> Result<(), String> {
        let (a, b) = (self.node(step.word(0)?)?, self.node(step.word(1)?)?);
        act(&mut self.world, a, b);
        Ok(())
    }

    fn rule(&mut self, step: &Step) -> Result<(), String> {
        let end = |name: &str| step.named(name).map(|node| self.node(node)).transpose();
        let percent = step.named("percent").map_or(Ok(100), str::parse).map_err(|_| "percent= must be a number")?;
        let (from, to) = (end("from")?, end("to")?);
        let rule = Rule { from, to, kind: step.kind()?, effect: step.effect()?, percent };
        self.world.network.rules.push(rule);
        Ok(())
    }

    fn submit_start(&mut self, step: &Step) -> Result<(usize, u64), String> {
        let node = self.node(step.word(0)?)?;
        let source = sample_config(step.number("number")?, step.required("text")?);
        let request = self.world.submit(node, &source);
        if let Some(name) = step.named("as") {
            self.started.insert(name.into(), (node, request));
        }
        Ok((node, request))
    }

    fn submit(&mut self, step: &Step) -> Result<(), String> {
        let started = self.submit_start(step)?;
        let answer = self.answer(started)?;
        expect_answer(step.required("expect")?, describe(&answer))
    }

    fn submit_many(&mut self, step: &Step) -> Result<(), String> {
        let node = self.node(step.word(0)?)?;
        let first = step.number("from")?;
        for number in first..first + step.number("count")? {
            let request = self.world.submit(node, &sample_config(number, "many"));
            let answer = self.answer((node, request))?;
            expect_answer("accepted", describe(&answer)).map_err(|e| format!("number {number}: {e}"))?;
        }
        Ok(())
    }

    fn expect_submit(&mut self, step: &Step) -> Result<(), String> {
        let started = *self.started.get(step.word(0)?).ok_or("unknown request")?;
        let answer = self.answer(started)?;
        expect_answer(step.word(1)?, describe(&answer))
    }

    fn claim_start(&mut self, step: &Step) -> Result<(usize, u64), String> {
        let node = self.node(step.word(0)?)?;
        let deadline = step.named("deadline").map_or(Ok(CLAIM_DEADLINE), Step::duration)?;
        let request = self.world.claim(node, &key(step)?, step.named("request").unwrap_or("same"), deadline);
        if let Some(name) = step.named("as") {
            self.started.insert(name.into(), (node, request));
        }
        Ok((node, request))
    }

    fn claim(&mut self, step: &Step) -> Result<(), String> {
        let started = self.claim_start(step)?;
        let answer = self.answer(started)?;
        expect_answer(step.required("expect")?, describe(&answer))
    }

    fn expect_claim(&mut self, step: &Step) -> Result<(), String> {
        let started = *self.started.get(step.word(0)?).ok_or("unknown request")?;
        let answer = self.answer(started)?;
        expect_answer(step.word(1)?, describe(&answer))
    }

    fn settle(&mut self, step: &Step) -> Result<(), String> {
        let node = self.node(step.word(0)?)?;
        let status = step.named("status").map_or(Ok(200), str::parse).map_err(|_| "status= must be a number")?;
        let is_sent = self.world.settle(node, &key(step)?, status);
        match (is_sent, step.named("expect")) {
            (false, Some("too-late")) | (true, None) => Ok(()),
            (true, Some(_)) => Err("the request was sent, expected too-late".into()),
            (false, _) => Err("the claim is not granted to this instance or has expired".into()),
        }
    }

    fn answer(&mut self, (node, request): (usize, u64)) -> Result<Answer, String> {
        self.world.run_for(ANSWER_LIMIT, |world| world.nodes[node].answers.contains_key(&request))?;
        self.world.nodes[node].answers.get(&request).cloned().ok_or_else(|| "no answer".into())
    }

    fn expect(&mut self, step: &Step) -> Result<(), String> {
        let limit = step.named("within").map_or(Ok(EXPECT_LIMIT), Step::duration)?;
        let what = step.word(0)?;
        let names = match what {
            "leader" | "no-leader" => Vec::new(),
            _ if step.word(1)? == "all" => (0..self.world.nodes.len()).collect(),
            _ => step.word(1)?.split(',').map(|name| self.node(name)).collect::<Result<Vec<_>, _>>()?,
        };
        let number = || step.word(2)?.parse::<ChangeNumber>().map_err(|_| "expected a number".to_string());
        match what {
            "leader" => self.wait(limit, |world| world.leader().is_some()),
            "no-leader" => self.wait(limit, |world| world.leader().is_none()),
            "serving" => self.wait(limit, |world| names.iter().all(|node| serves(world, *node))),
            "not-serving" => self.wait(limit, |world| !names.iter().any(|node| serves(world, *node))),
            "stopped" => self.wait(limit, |world| names.iter().all(|node| world.nodes[*node].is_stopped)),
            "installed" => {
                let number = number()?;
                let is_installed = |world: &World, node: usize| {
                    world.nodes[node].control.as_ref().is_some_and(|control| control.installed() == number)
                };
                self.wait(limit, |world| names.iter().all(|node| is_installed(world, *node)))
            }
            "servers" => {
                let service = step.word(2)?.to_owned();
                let expected = step.words.get(3).map_or(String::new(), |names| names.to_string());
                self.wait(limit, |world| names.iter().all(|node| servers(world, *node, &service) == expected))
            }
            "live" => {
                let expected = step.word(2)?.to_owned();
                self.wait(limit, |world| names.iter().all(|node| live(world, *node) == expected))
            }
            _ => Err(format!("unknown expectation {what}")),
        }
    }

    fn wait(&mut self, limit: Duration, is_done: impl Fn(&World) -> bool) -> Result<(), String> {
        match self.world.run_for(limit, is_done)? {
            true => Ok(()),
            false => Err(format!("condition not met within {limit:?}")),
        }
    }
}

fn key(step: &Step) -> Result<ClaimKey, String> {
    Ok(ClaimKey { service: "stock".into(), customer: "kovar".into(), key: step.required("key")?.into() })
}

fn serves(world: &World, node: usize) -> bool {
    let node = &world.nodes[node];
    node.is_up() && node.control.as_ref().is_some_and(|control| control.may_serve(world.now()).is_ok())
}

fn servers(world: &World, node: usize, service: &str) -> String {
    let control = world.nodes[node].control.as_ref();
    let views = control.map(|control| control.registry().views(world.now(), service)).unwrap_or_default();
    views.iter().map(|view| &*view.id).collect::<Vec<_>>().join(",")
}

fn live(world: &World, node: usize) -> String {
    let control = world.nodes[node].control.as_ref();
    control.map(|control| control.membership().live(world.now()).join(",")).unwrap_or_default()
}

fn expect_answer(expected: &str, found: String) -> Result<(), String> {
    let is_found = expected.split('|').any(|expected| expected == found);
    if is_found { Ok(()) } else { Err(format!("expected {expected}, found {found}")) }
}

/// Returns the name of an answer in scripts.
fn describe(answer: &Answer) -> String {
    match answer {
        Answer::Submit { answer, .. } => match answer {
            SubmitAnswer::Invalid(_) => "invalid".into(),
            SubmitAnswer::TooLong => "too-long".into(),
            SubmitAnswer::Accepted { .. } => "accepted".into(),
            SubmitAnswer::Conflict { .. } => "conflict".into(),
            SubmitAnswer::Superseded { .. } => "superseded".into(),
            SubmitAnswer::NotAccepted => "not-accepted".into(),
            SubmitAnswer::Unknown => "unknown".into(),
        },
        Answer::Claim { answer, .. } => match answer {
            ClaimAnswer::Granted { .. } => "granted".into(),
            ClaimAnswer::Settled(outcome) => format!("settled-{}", outcome.status),
            ClaimAnswer::InDoubt => "in-doubt".into(),
            ClaimAnswer::KeyReused => "key-reused".into(),
            ClaimAnswer::Invalid => "invalid".into(),
            ClaimAnswer::NotRecorded => "not-recorded".into(),
        },
    }
}
