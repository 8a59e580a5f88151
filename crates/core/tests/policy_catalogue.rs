//! Checks that the policy catalogue lists exactly the policies and parameters that configuration accepts.

use havengate_core::configuration::PolicyChoice;
use havengate_core::policy::{
    PLACEMENT_POLICIES, PolicyEntry, PolicyError, ROLE_POLICIES, placement_policy, role_policy,
};

/// Creates a policy and discards it.
type CreatePolicy = fn(&PolicyChoice) -> Result<(), PolicyError>;

fn policy_kinds() -> [(&'static [PolicyEntry], CreatePolicy); 2] {
    [
        (&PLACEMENT_POLICIES, |choice| placement_policy(choice, 1).map(drop)),
        (&ROLE_POLICIES, |choice| role_policy(choice).map(drop)),
    ]
}

#[test]
fn catalogue_lists_the_names_of_the_unknown_policy_error() {
    for (entries, create) in policy_kinds() {
        let Err(PolicyError::UnknownName { known, .. }) = create(&PolicyChoice::with_defaults("none such")) else {
            panic!("an unknown policy name was accepted");
        };
        let names: Vec<&str> = entries.iter().map(|entry| entry.name).collect();
        assert_eq!(names.join(", "), known);
    }
}

#[test]
fn each_parameter_is_accepted_within_its_range_and_refused_above() {
    for (entries, create) in policy_kinds() {
        for entry in entries {
            for parameter in entry.parameters {
                let create_with = |value: f64| {
                    let mut choice = PolicyChoice::with_defaults(entry.name);
                    choice.parameters.insert(parameter.name.to_owned(), value);
                    create(&choice)
                };
                for value in [parameter.minimum, parameter.default, parameter.maximum] {
                    assert_eq!(create_with(value), Ok(()), "{} {}", entry.name, parameter.name);
                }
                assert!(create_with(parameter.maximum + 1.0).is_err(), "{} {}", entry.name, parameter.name);
                assert!(!parameter.meaning.is_empty(), "{} {}", entry.name, parameter.name);
            }
        }
    }
}

#[test]
fn catalogue_lists_the_parameters_of_the_unknown_parameter_error() {
    for (entries, create) in policy_kinds() {
        for entry in entries {
            let mut choice = PolicyChoice::with_defaults(entry.name);
            choice.parameters.insert("none such".to_owned(), 1.0);
            let Err(PolicyError::UnknownParameter { known, .. }) = create(&choice) else {
                panic!("{} accepted an unknown parameter", entry.name);
            };
            let names: Vec<&str> = entry.parameters.iter().map(|parameter| parameter.name).collect();
            let expected = if names.is_empty() { "none".to_owned() } else { names.join(", ") };
            assert_eq!(known, expected, "{}", entry.name);
        }
    }
}
