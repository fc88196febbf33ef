//! Parsing of control statements and knobs, each a `SELECT` of one function call in schema `rudder`
//! or `standin`.

use super::error::SqlError;
use super::parse_scalar::{call_arguments, constant_text, name_text};
use super::plan::StatementPlan;
use crate::group::knob::{KnobCommand, MemberKnob, ServiceDistribution};
use rudder_core::{ConnectionCount, ControlStatement, LogTerm, MemberName, MemberSpeed, SlotCount};
use sqlparser::ast::{self, Expr, SelectItem};
use std::str::FromStr;
use std::time::Duration;

/// Returns the plan if the query calls a function of schema `rudder` or `standin`.
pub(crate) fn parse_call(query: &ast::Query) -> Result<Option<StatementPlan>, SqlError> {
    let ast::SetExpr::Select(select) = query.body.as_ref() else { return Ok(None) };
    let [SelectItem::UnnamedExpr(Expr::Function(function))] = select.projection.as_slice() else {
        return Ok(None);
    };
    let name = name_text(&function.name);
    if let Some(name) = name.strip_prefix("rudder.") {
        let texts = argument_texts(function)?;
        return control(name, &texts).map(|statement| Some(StatementPlan::Control(statement)));
    }
    if let Some(name) = name.strip_prefix("standin.") {
        let texts = argument_texts(function)?;
        if let ("notice", [text]) = (name, texts.as_slice()) {
            return Ok(Some(StatementPlan::Notice(text.as_str().into())));
        }
        return knob_command(name, &texts).map(|command| Some(StatementPlan::Knob(command)));
    }
    Ok(None)
}

fn argument_texts(function: &ast::Function) -> Result<Vec<String>, SqlError> {
    call_arguments(function.args.clone())?.iter().map(constant_text).collect()
}

fn control(name: &str, arguments: &[String]) -> Result<ControlStatement, SqlError> {
    match (name, arguments) {
        ("fence", [term]) => Ok(ControlStatement::Fence(value::<LogTerm>(term)?)),
        ("promote", [term]) => Ok(ControlStatement::Promote(value::<LogTerm>(term)?)),
        ("follow", [term, leader]) => {
            Ok(ControlStatement::Follow(value(term)?, value::<MemberName>(leader)?))
        }
        _ => Err(SqlError::UnknownFunction(format!("rudder.{name}"))),
    }
}

fn knob_command(name: &str, arguments: &[String]) -> Result<KnobCommand, SqlError> {
    if let Some(knob) = knob(name, arguments)? {
        return Ok(KnobCommand { member: None, knob });
    }
    if let Some((member, rest)) = arguments.split_first()
        && let Some(knob) = knob(name, rest)?
    {
        return Ok(KnobCommand { member: Some(value(member)?), knob });
    }
    Err(SqlError::UnknownFunction(format!("standin.{name} with {} arguments", arguments.len())))
}

fn knob(name: &str, arguments: &[String]) -> Result<Option<MemberKnob>, SqlError> {
    let texts: Vec<_> = arguments.iter().map(String::as_str).collect();
    let knob = match (name, texts.as_slice()) {
        ("lag", [millis]) => MemberKnob::ApplyLag(milliseconds(millis)?),
        ("link", [millis]) => MemberKnob::LinkDelay(milliseconds(millis)?),
        ("pause", []) => MemberKnob::Paused(true),
        ("resume", []) => MemberKnob::Paused(false),
        ("kill", []) => MemberKnob::Kill,
        ("restart", []) => MemberKnob::Restart,
        ("freeze", []) => MemberKnob::Frozen(true),
        ("thaw", []) => MemberKnob::Frozen(false),
        ("cut", []) => MemberKnob::Cut(true),
        ("heal", []) => MemberKnob::Cut(false),
        ("speed", [percent]) => MemberKnob::Speed(value::<MemberSpeed>(percent)?),
        ("service_time", [millis]) => {
            MemberKnob::ServiceTime(milliseconds(millis)?, ServiceDistribution::Fixed)
        }
        ("service_time", [millis, "exponential"]) => {
            MemberKnob::ServiceTime(milliseconds(millis)?, ServiceDistribution::Exponential)
        }
        ("slots", [count]) => MemberKnob::Slots(value::<SlotCount>(count)?),
        ("connections", [count]) => MemberKnob::Connections(value::<ConnectionCount>(count)?),
        ("connect_time", [millis]) => MemberKnob::ConnectTime(milliseconds(millis)?),
        _ => return Ok(None),
    };
    Ok(Some(knob))
}

fn value<T: FromStr<Err: std::fmt::Display>>(text: &str) -> Result<T, SqlError> {
    text.parse().map_err(|error: T::Err| SqlError::InvalidControl(error.to_string()))
}

fn milliseconds(text: &str) -> Result<Duration, SqlError> {
    const SECONDS_PER_MILLISECOND: f64 = 0.001;
    let millis: f64 = value(text)?;
    Duration::try_from_secs_f64(millis * SECONDS_PER_MILLISECOND)
        .map_err(|error| SqlError::InvalidControl(error.to_string()))
}
