"""Settings files of the platform that change while a process runs."""

from __future__ import annotations

import asyncio

from standins import memory_platform
from wagtailhollow.internal.daemon import settings_watch


def watch_file(file, applied):
    def load(path):
        text = file.read_text()
        if text == 'broken':
            raise ValueError('broken')
        return text

    return settings_watch.SettingsWatch(str(file), load, applied.append)


def test_changed_file_is_reloaded_without_a_signal(tmp_path):
    """Guards against a change that is missed because no signal was sent."""
    file = tmp_path / 'local.toml'
    file.write_text('one')
    applied = []
    watch = watch_file(file, applied)

    async def work():
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(5)
        assert applied == []
        file.write_text('two and more')
        await asyncio.sleep(5)
        task.cancel()

    memory_platform.run_in_virtual_time(work)
    assert applied == ['two and more']


def test_invalid_file_leaves_the_settings_unchanged(tmp_path):
    """Guards against a process that ends because of a half-written file."""
    file = tmp_path / 'local.toml'
    file.write_text('broken')
    applied = []
    watch_file(file, applied).reload()
    assert applied == []
