//! The catalogue of policies tells what configuration can name, no more and no less.

use havengate_core::configuration::PolicyChoice;
use havengate_core::policy::{
    PLACEMENT_POLICIES, PolicyEntry, PolicyError, ROLE_POLICIES, placement_policy, role_policy,
};

/// Creates a policy and drops it.
type Create = fn(&PolicyChoice) -> Result<(), PolicyError>;

fn kinds() -> [(&'static [PolicyEntry], Create); 2] {
    [
        (&PLACEMENT_POLICIES, |choice| placement_policy(choice, 1).map(drop)),
        (&ROLE_POLICIES, |choice| role_policy(choice).map(drop)),
    ]
}

#[test]
fn the_names_are_those_that_a_refusal_lists() {
    for (entries, create) in kinds() {
        let Err(PolicyError::UnknownName { known, .. }) = create(&PolicyChoice::with_defaults("none such")) else {
            panic!("an unknown name was taken");
        };
        let names: Vec<&str> = entries.iter().map(|entry| entry.name).collect();
        assert_eq!(names.join(", "), known);
    }
}

#[test]
fn each_parameter_is_taken_within_its_range_and_refused_beyond() {
    for (entries, create) in kinds() {
        for entry in entries {
            for parameter in entry.parameters {
                let with = |value: f64| {
                    let mut choice = PolicyChoice::with_defaults(entry.name);
                    choice.parameters.insert(parameter.name.to_owned(), value);
                    create(&choice)
                };
                for value in [parameter.minimum, parameter.default, parameter.maximum] {
                    assert_eq!(with(value), Ok(()), "{} {}", entry.name, parameter.name);
                }
                assert!(with(parameter.maximum + 1.0).is_err(), "{} {}", entry.name, parameter.name);
                assert!(!parameter.meaning.is_empty(), "{} {}", entry.name, parameter.name);
            }
        }
    }
}

#[test]
fn no_parameter_is_left_out() {
    for (entries, create) in kinds() {
        for entry in entries {
            let mut choice = PolicyChoice::with_defaults(entry.name);
            choice.parameters.insert("none such".to_owned(), 1.0);
            let Err(PolicyError::UnknownParameter { known, .. }) = create(&choice) else {
                panic!("{} took an unknown parameter", entry.name);
            };
            let names: Vec<&str> = entry.parameters.iter().map(|parameter| parameter.name).collect();
            let expected = if names.is_empty() { "none".to_owned() } else { names.join(", ") };
            assert_eq!(known, expected, "{}", entry.name);
        }
    }
}
