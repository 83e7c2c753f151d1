/*!
A pool's maintenance waves, carried out.
*/

use {
    super::{
        controller::Controller,
        documents::{Update, Verdict},
        pools::apply,
    },
    crate::{clock, counters, view::View},
    dewspar::{
        config::Kind,
        place,
        pool::{PoolState, Reason},
        wave::{self, Step as WaveStep},
    },
    dewspar_platform::{Error, KeyValue, Workers},
    slog::{debug, info},
};

impl<K: KeyValue, W: Workers> Controller<K, W> {
    /// Takes every step that is due for the waves over one pool.
    pub(super) async fn step_waves(
        &mut self,
        view: &View,
        pool: &str,
    ) -> Result<(), Error> {
        let waves: Vec<String> = view
            .config
            .value
            .waves()
            .filter(|(_, spec)| spec.pool == pool)
            .map(|(resource, _)| resource.name().to_owned())
            .collect();
        for wave in waves {
            let view = &self.merged();
            let state = view.pools.get(pool).cloned().unwrap_or_default();
            let rows = view.pool_rows(pool);
            let config = &view.config.value;
            for step in wave::steps(config, &wave, &state.value, &rows) {
                self.step_wave(view, pool, &wave, step).await?;
            }
        }
        Ok(())
    }

    async fn step_wave(
        &mut self,
        view: &View,
        pool: &str,
        wave: &str,
        step: WaveStep,
    ) -> Result<(), Error> {
        match step {
            WaveStep::Take { vm } => {
                let reason = Reason::Wave(wave.to_owned());
                self.take(view, pool, &vm, reason).await
            }
            WaveStep::Drain { vm } => {
                self.move_vm(view, &vm, "drain").await?;
                Ok(())
            }
            WaveStep::RebootWhenDrained { vm } => {
                let Some(row) = view.row(&vm) else { return Ok(()) };
                if self.is_drained(view, &vm, row) {
                    self.move_vm(view, &vm, "reboot").await?;
                }
                Ok(())
            }
            WaveStep::Reboot { vm } => self.reboot(view, wave, &vm).await,
            WaveStep::Release { vm } => {
                let release =
                    |state: &mut PoolState| Verdict::from(state.release(&vm));
                self.update_pool(view, pool, "release", release).await
            }
            WaveStep::Blocked { shortage } => {
                debug!(self.log, "fleet: wave waits"; "wave" => wave,
                    "why" => %shortage);
                self.spread(view, pool, wave).await
            }
            WaveStep::Complete => {
                info!(self.log, "fleet: wave complete"; "wave" => wave);
                let revision = revision_of(view, wave);
                let complete = |state: &mut PoolState| {
                    state.complete_wave(wave, revision);
                    Verdict::Write
                };
                self.update_pool(view, pool, "complete", complete).await
            }
        }
    }

    /// Moves one of several siblings off a VM that the wave can't take.
    async fn spread(
        &mut self,
        view: &View,
        pool: &str,
        wave: &str,
    ) -> Result<(), Error> {
        let rows = view.pool_rows(pool);
        let now_ms = clock::unix_ms();
        let (config, usage) = (&view.config.value, &self.usage);
        let decide = |state: &mut PoolState| {
            let step = place::spread(config, pool, state, &rows, usage, wave);
            Verdict::from(step.is_some_and(|step| apply(state, step, now_ms)))
        };
        let update = self.documents.update_pool(view, pool, decide).await?;
        if update == Update::Written {
            counters::count_by(counters::FLEET_STEPS, "step", "spread");
        }
        Ok(())
    }

    /// Asks for an intended reboot until the worker reports it done.
    async fn reboot(
        &mut self,
        view: &View,
        wave: &str,
        vm: &str,
    ) -> Result<(), Error> {
        let Some(row) = view.row(vm) else { return Ok(()) };
        let known = self.workers.get(vm);
        let report = known.and_then(|known| known.report.as_ref());
        let Some((_, report)) = report else { return Ok(()) };
        if report.rebooted_epoch < row.epoch() {
            self.workers.reboot(vm, row);
            return Ok(());
        }
        if !report.rebooting {
            self.change_vm(view, vm, "booted", |hall, now_ms| {
                hall.handle(vm, "booted", now_ms).is_ok()
                    && hall.mark_maintained(vm, wave).is_ok()
            })
            .await?;
        }
        Ok(())
    }
}

fn revision_of(view: &View, wave: &str) -> u64 {
    let wave = view.config.value.get(Kind::MaintenanceWave, wave);
    wave.map_or(0, |resource| resource.revision())
}
