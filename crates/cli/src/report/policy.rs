//! The text of `havengate policy list`.

use havengate_core::configuration::{PolicyChoice, TrialArm};
use havengate_node::operators::{PoliciesAnswer, PolicyDescription};

use crate::output::Report;

impl Report for PoliciesAnswer {
    fn text(&self) -> String {
        let in_force = self.role_policy.as_ref().map_or("none, engines keep their roles".to_owned(), choice_text);
        let mut lines = vec![format!("role policy in force: {in_force}")];
        lines.extend(self.shadow_role_policies.iter().map(|choice| format!("in shadow: {}", choice_text(choice))));
        lines.extend(self.arms.iter().map(arm_text));
        lines.push("role policies:".to_owned());
        lines.extend(self.role_policies.iter().map(description_text));
        lines.push("placement policies:".to_owned());
        lines.extend(self.placement_policies.iter().map(description_text));
        lines.join("\n")
    }
}

fn arm_text(arm: &TrialArm) -> String {
    format!("placement arm {}, share {}: {}", arm.name, arm.share, choice_text(&arm.policy))
}

fn choice_text(choice: &PolicyChoice) -> String {
    let parameters: Vec<String> = choice.parameters.iter().map(|(name, value)| format!("{name}={value}")).collect();
    if parameters.is_empty() { choice.name.to_string() } else { format!("{} ({})", choice.name, parameters.join(", ")) }
}

fn description_text(policy: &PolicyDescription) -> String {
    let mut lines = vec![format!("  {}: {}", policy.name, policy.summary)];
    let parameters = policy.parameters.iter();
    lines.extend(parameters.map(|item| format!("    {} (default {}): {}", item.name, item.default, item.description)));
    lines.join("\n")
}
