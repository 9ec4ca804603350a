import type { Announcement } from '@hickorybridge/types';
import { Hono } from 'hono';

import type { ListenerEnvironment } from './HttpListener.js';
import { parseAnnouncement } from './parseAnnouncement.js';

/** What the announcements' listener needs. */
export interface AnnouncementsApplicationOptions {
  readonly announce: (announcement: Announcement) => void;
  /** Resolves when the backend server's requests have ended; false when it is not announced. */
  readonly withdraw: (backendServerId: string) => Promise<boolean>;
  readonly list: () => readonly Announcement[];
}

/** Makes the application in which backend servers announce themselves to their node. */
export function createAnnouncementsApplication(
  options: AnnouncementsApplicationOptions,
): Hono<ListenerEnvironment> {
  const application = new Hono<ListenerEnvironment>();
  application.get('/announcements', (context) => context.json(options.list()));
  application.put('/announcements/:id', async (context) => {
    const body: unknown = await context.req.json().catch(() => undefined);
    const announcement = parseAnnouncement(context.req.param('id'), body);
    if (!announcement.ok) return context.json(announcement.error, 400);
    options.announce(announcement.value);
    return context.body(null, 204);
  });
  application.delete('/announcements/:id', async (context) => {
    const known = await options.withdraw(context.req.param('id'));
    if (known) return context.body(null, 204);
    const title = `backend server "${context.req.param('id')}" is not announced here`;
    return context.json({ title, status: 404 }, 404);
  });
  return application;
}
