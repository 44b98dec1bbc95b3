// Package coldstart decides how many statements all VMs together send to a backend server that has just started and is slow.
package coldstart
