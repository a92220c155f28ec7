//! The group of targets of one site: its rules, and its figures under a burst.

mod model;

use model::{Figures, Load as Offer, Model};
use ragwortfold::steer::group::{Config, Order, Pick};

/// The mean of some figures over three seeds.
#[derive(Debug)]
struct Mean {
    p50: f64,
    p99: f64,
    lost: f64,
    unavoidable: f64,
}

fn measure(name: &str, config: &Config, offer: Offer) -> Mean {
    let runs: Vec<Figures> = (1..=3)
        .map(|seed| Model::new(config.clone(), offer, seed).run())
        .collect();
    let mean = |of: fn(&Figures) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
    let mean = Mean {
        p50: mean(|run| run.p50),
        p99: mean(|run| run.p99),
        lost: mean(Figures::lost),
        unavoidable: mean(|run| run.unavoidable),
    };
    println!(
        "{name:24} p50 {:6.1} p99 {:6.1} lost {:.3} unavoidable {:.3}",
        mean.p50, mean.p99, mean.lost, mean.unavoidable
    );
    mean
}

fn silent(offer: Offer) -> Offer {
    Offer {
        report: false,
        ..offer
    }
}

#[test]
fn burst() {
    let lying = Offer {
        lie: true,
        ..Offer::within()
    };
    for (load, offer) in [
        ("within", Offer::within()),
        ("beyond", Offer::beyond()),
        ("lying", lying),
        ("silent within", silent(Offer::within())),
        ("silent beyond", silent(Offer::beyond())),
        ("many within", Offer::within().many()),
        ("many beyond", Offer::beyond().many()),
    ] {
        println!("{load}:");
        for pick in [Pick::RoundRobin, Pick::LeastInFlight] {
            measure(
                &format!("{pick} alone"),
                &Config::with_pick_alone(pick),
                offer,
            );
        }
        for pick in [Pick::RoundRobin, Pick::LeastInFlight, Pick::TwoChoices] {
            measure(
                &format!("{pick}"),
                &Config {
                    pick,
                    ..Config::default()
                },
                offer,
            );
        }
        measure(
            "lifo",
            &Config {
                order: Order::Lifo,
                ..Config::default()
            },
            offer,
        );
    }
}
