//! Overrides of dispatch settings for experiments with the default variants.

use anyhow::{Context, bail};
use cuminspread::coordination::dispatch::DispatchSettings;
use cuminspread::coordination::policy::Policy;

/// Settings to change, as pairs of name and value.
#[derive(Debug, Clone, Default)]
pub struct Overrides(Vec<(String, f32)>);

impl Overrides {
    /// Parses `NAME=VALUE` pairs.
    ///
    /// # Errors
    ///
    /// Fails on a malformed pair or an unknown name.
    pub fn parse<'a>(pairs: impl Iterator<Item = &'a String>) -> anyhow::Result<Self> {
        let mut overrides = Self::default();
        for pair in pairs {
            let (name, value) = pair.split_once('=').context("expected NAME=VALUE")?;
            let value = value
                .parse()
                .with_context(|| format!("value of {name} is not a number"))?;
            if !change(&mut DispatchSettings::default(), name, value) {
                bail!("unknown setting {name}");
            }
            overrides.0.push((name.to_owned(), value));
        }
        Ok(overrides)
    }

    /// Settings with the overrides applied in order.
    pub fn apply(&self, mut settings: DispatchSettings) -> DispatchSettings {
        for (name, value) in &self.0 {
            change(&mut settings, name, *value);
        }
        settings
    }
}

/// Sets the setting of this name; returns whether the name is known. The names are those of
/// `--set`, and some differ from the field's.
fn change(settings: &mut DispatchSettings, name: &str, value: f32) -> bool {
    match name {
        "far_cost" => settings.choice.far_cost_us = value,
        "report_half_life" => settings.choice.report_half_life = value,
        "overflow_samples" => settings.choice.overflow_samples = value as usize,
        "own_factor" => settings.choice.owned_cost_factor = value,
        "move_non_idempotent" => settings.retry.move_non_idempotent = value > 0.0,
        "load_weight" => settings.choice.load_weight = value,
        "slow_weight" => settings.choice.latency_weight = value,
        "full_for" => settings.choice.full_for_means = value,
        "move_gain" => settings.retry.move_gain = value,
        "min_ask_part" => settings.retry.min_move_fraction = value,
        "rotate" => settings.choice.overflow_in_turn = value > 0.0,
        "policy" => settings.choice.policy = Policy::ALL[value as usize],
        "own_enough" => settings.choice.owned_cost_limit = value,
        "hedge_after" => settings.retry.hedge_tail_factor = value,
        "move_after" => settings.retry.move_mean_factor = value,
        "max_moves" => settings.retry.max_moves = value as u8,
        "move_ratio" => settings.retry.move_ratio = value,
        "retry_ratio" => settings.retry.ratio = value,
        _ => return false,
    }
    true
}
