"""Settings files of the platform that change under a running process."""

from __future__ import annotations

import asyncio

from standins import memory_platform
from wagtailhollow.internal.daemon import settings_watch


def watch_of(file, taken):
    def load(path):
        text = file.read_text()
        if text == 'broken':
            raise ValueError('broken')
        return text

    return settings_watch.SettingsWatch(str(file), load, taken.append)


def test_changed_file_is_read_without_a_signal(tmp_path):
    """Guards against bounds that stay old because no signal came."""
    file = tmp_path / 'local.toml'
    file.write_text('one')
    taken = []
    watch = watch_of(file, taken)

    async def work():
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(5)
        assert taken == []
        file.write_text('two and more')
        await asyncio.sleep(5)
        task.cancel()

    memory_platform.run_fast(work)
    assert taken == ['two and more']


def test_unusable_file_leaves_the_settings(tmp_path):
    """Guards against a process that ends on a half-written file."""
    file = tmp_path / 'local.toml'
    file.write_text('broken')
    taken = []
    watch_of(file, taken).reload()
    assert taken == []
