//! What the choice of targets is worth under loads at their worst, replayed in virtual time.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

mod replay;

use replay::{Mode, Scene, World};

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
#[ignore = "prints figures"]
fn figures() {
    for seed in 1..4 {
        let mut world = World::new(Scene {
            seed,
            ..Scene::default()
        });
        world.run(s(20.0));
        println!(
            "opening {:?} {:?} calm {:?}",
            world.sum(s(0.0), s(2.0)).share(),
            world.sum(s(2.0), s(4.0)).share(),
            world.sum(s(8.0), s(16.0)).share()
        );
        // two targets of a region go and come back with nothing
        let mut world = World::new(Scene {
            seed,
            ..Scene::default()
        });
        world.run(s(10.0));
        for site in [6, 7] {
            world.withdraw(site);
        }
        world.run(s(3.0));
        for site in [6, 7] {
            world.restore(site);
        }
        world.run(s(7.0));
        println!(
            "gone {:?} back {:?}",
            world.sum(s(10.0), s(13.0)).share(),
            world.sum(s(13.0), s(16.0)).share()
        );
        // shed
        let mut world = World::new(Scene {
            seed,
            ..Scene::default()
        });
        world.run(s(10.0));
        for site in 6..9 {
            world.set_mode(site, Mode::Shed(0.5));
        }
        world.run(s(10.0));
        println!("shed {:?}", world.sum(s(10.0), s(16.0)));
        let mut world = World::new(Scene {
            seed,
            ..Scene::default()
        });
        world.run(s(10.0));
        world.set_mode(6, Mode::Dark);
        world.set_mode(8, Mode::Dark);
        world.run(s(10.0));
        println!("dark {:?}", world.sum(s(10.0), s(16.0)));
        let mut world = World::new(Scene {
            seed,
            ..Scene::default()
        });
        world.run(s(10.0));
        world.set_mode(6, Mode::Slow(6.0));
        world.set_mode(8, Mode::Slow(6.0));
        world.run(s(10.0));
        println!("slow {:?}", world.sum(s(10.0), s(16.0)));
    }
}
