/**
 * A small emulator of the users' platform: its store, its engines and its clients, over real
 * sockets on loopback, which misbehave on command. For tests and the quickstart; it is a readable
 * model of the published protocol and not of any particular platform's timing.
 */
package org.fallturn.rehearsal.emulator;
