//! Checks that each session stays on one version of a model and that one router plans in each term.

use std::collections::{HashMap, HashSet};

use super::{Promise, model_of};
use crate::check::Evidence;
use crate::verdict::Verdict;

/// Checks that no session ran on two versions of a model.
pub(crate) fn check_one_version(evidence: &Evidence, verdict: &mut Verdict) {
    let mut versions_run: HashMap<(&str, &str), HashSet<&str>> = HashMap::new();
    for line in evidence
        .lines
        .iter()
        .filter(|line| line.event == "ran" && !line.text("session").is_empty())
    {
        let (session, function) = (line.text("session"), line.text("function"));
        let versions = versions_run
            .entry((session, model_of(function)))
            .or_default();
        if versions.insert(function) && versions.len() > 1 {
            let worker = &line.source;
            verdict.add_promise_violation(
                Promise::Sessions,
                format!("session {session} ran on {function} as well, at {worker}"),
            );
        }
    }
    verdict.sessions = versions_run.len() as u64;
}

/// Checks that all orders of one term about one model were issued by one router.
pub(crate) fn check_one_planner(evidence: &Evidence, verdict: &mut Verdict) {
    let mut planners: HashMap<(&str, &str), HashSet<&str>> = HashMap::new();
    for line in evidence
        .lines
        .iter()
        .filter(|line| matches!(line.event.as_str(), "ordered" | "unloaded"))
    {
        let (router, term) = (line.text("router"), line.text("term"));
        let model = model_of(line.text("function"));
        if router.is_empty() || term.is_empty() {
            continue;
        }
        let routers = planners.entry((model, term)).or_default();
        if routers.insert(router) && routers.len() > 1 {
            verdict.add_promise_violation(
                Promise::Terms,
                format!("{router} gave an order about {model} in term {term}, which is another's"),
            );
        }
    }
}
