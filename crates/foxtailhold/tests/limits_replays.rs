//! Replays of fuzzer runs in which the instances once admitted more than the stated bound.

mod common;

use common::shares::World;

#[test]
fn run_1_keeps_the_bound() {
    let mut world = World::new();
    world.flood(&[0], 320);
    world.flood(&[0, 1, 2], 220);
    world.advance(660);
    world.flood(&[3], 720);
    world.partitions.insert((2, 3));
    world.advance(400);
    (world.loss_percent, world.delay_ms) = (76, 0);
    world.advance(180);
    world.advance(320);
    world.flood(&[3], 660);
    world.flood(&[0], 220);
    world.advance(480);
    world.request(3, 1);
    world.advance(140);
    (world.loss_percent, world.delay_ms) = (0, 2);
    world.advance(400);
    world.flood(&[1], 220);
    world.flood(&[1, 2, 3], 120);
}

#[test]
fn run_2_keeps_the_bound() {
    let mut world = World::new();
    world.request(2, 1);
    world.request(0, 7);
    world.flood(&[3], 720);
    world.advance(380);
    world.flood(&[1], 300);
    world.flood(&[3], 640);
    world.partitions.insert((1, 2));
    world.flood(&[1], 380);
    world.advance(480);
    world.flood(&[1], 740);
    world.flood(&[1], 600);
    world.advance(400);
    world.flood(&[1, 2, 3], 180);
}

#[test]
fn run_3_keeps_the_bound() {
    let mut world = World::new();
    world.partitions.clear();
    world.flood(&[1, 0], 200);
    world.partitions.insert((1, 2));
    world.flood(&[0], 1080);
    (world.loss_percent, world.delay_ms) = (0, 2);
    world.request(3, 1);
    world.advance(340);
    world.flood(&[1], 320);
    world.advance(720);
    world.advance(760);
    world.request(1, 10);
    world.flood(&[3, 2], 100);
}

#[test]
fn run_4_keeps_the_bound() {
    let mut world = World::new();
    world.request(2, 11);
    world.request(0, 5);
    world.advance(280);
    world.flood(&[0, 1], 480);
    world.advance(600);
    (world.loss_percent, world.delay_ms) = (36, 81);
    world.advance(760);
    world.advance(420);
    world.flood(&[1], 600);
    world.advance(520);
    world.advance(180);
    world.flood(&[2, 1, 0], 220);
}

#[test]
fn run_5_keeps_the_bound() {
    let mut world = World::new();
    world.flood(&[3, 2], 660);
    world.flood(&[2], 100);
    world.partitions.insert((2, 3));
    world.request(2, 1);
    world.flood(&[3], 940);
    world.advance(560);
    world.request(3, 1);
    world.advance(640);
    world.advance(760);
    world.flood(&[3, 2, 0], 120);
}

#[test]
fn run_6_keeps_the_bound() {
    let mut world = World::new();
    world.partitions.clear();
    (world.loss_percent, world.delay_ms) = (0, 2);
    world.flood(&[2], 20);
    world.partitions.clear();
    world.flood(&[1, 2], 1060);
    (world.loss_percent, world.delay_ms) = (93, 0);
    world.request(1, 41);
    world.advance(300);
    world.flood(&[1], 1060);
    world.advance(300);
    world.flood(&[2], 260);
    world.advance(540);
    world.advance(760);
    world.request(2, 11);
    world.flood(&[1, 2, 2], 60);
}

#[test]
fn run_7_keeps_the_bound() {
    let mut world = World::new();
    world.flood(&[1, 0], 320);
    world.partitions.insert((0, 2));
    world.flood(&[0], 660);
    (world.loss_percent, world.delay_ms) = (0, 2);
    world.flood(&[0], 1180);
    world.flood(&[0], 760);
    world.advance(580);
    world.flood(&[1], 20);
    world.flood(&[1, 2, 0], 100);
}

#[test]
fn run_8_keeps_the_bound() {
    let mut world = World::new();
    world.flood(&[0, 1], 700);
    world.flood(&[0, 3, 0], 1100);
    world.request(1, 7);
    world.request(2, 1);
    world.advance(260);
    (world.loss_percent, world.delay_ms) = (67, 0);
    world.flood(&[3], 920);
    (world.loss_percent, world.delay_ms) = (94, 0);
    world.partitions.insert((0, 0));
    world.flood(&[0], 60);
    world.flood(&[1], 200);
    world.flood(&[0], 800);
    world.flood(&[2, 3], 280);
    world.flood(&[0, 0], 620);
    world.advance(460);
    world.flood(&[0, 2, 3], 260);
}
