// Command rig plays the scripts of the review: it starts nodes as separate processes and stand-ins of the platform, the databases and
// the callers, causes a disruption, and checks one rule.
package main
