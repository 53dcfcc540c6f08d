package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/storage"
)

type stateCmd struct {
	Show   stateShow   `cmd:"" help:"Print what a replica's disk holds, as JSON. The replica must not run."`
	Check  stateCheck  `cmd:"" help:"Check that a replica's disk can be read and its configuration is valid."`
	Export stateExport `cmd:"" help:"Write a backup of the state to a file."`
	Import stateImport `cmd:"" help:"Make a replica's disk from a backup, as the only voter. For when a majority of disks is lost."`
}

type dataDir struct {
	Data string `help:"The replica's data_directory." required:"" type:"existingdir" placeholder:"DIR"`
}

// read opens a replica's disk, and closes it again.
func (d dataDir) read() (*storage.Recovered, error) {
	if _, err := os.Stat(filepath.Join(d.Data, "state")); err != nil {
		return nil, err // to look must not make one
	}
	s, k, err := storage.Open(d.Data, storage.Identity{})
	if err != nil {
		return nil, err
	}
	return k, s.Close()
}

type stateShow struct{ dataDir }

// Run prints the state. Keys of tenants are not printed.
func (c stateShow) Run() error {
	k, err := c.read()
	if err != nil {
		return err
	}
	type member struct{ ID, Name, Addr string }
	out := struct {
		Member      string   `json:"member"`
		Founder     bool     `json:"founder"`
		Votes       bool     `json:"votes"`
		Next        uint64   `json:"next_place"`
		Members     []member `json:"members"`
		Revision    uint64   `json:"revision"`
		ConfigPlace uint64   `json:"configuration_place"`
		ConfigBytes int      `json:"configuration_bytes"`
		Holder      string   `json:"holder"`
		Fence       uint64   `json:"fence"`
		Windows     int      `json:"usage_windows"`
		Promised    uint64   `json:"promised_round"`
		Accepted    bool     `json:"accepted_something"`
	}{
		Member: fmt.Sprintf("%016x", k.ID), Founder: k.IsFounder, Votes: k.State.Member(k.ID) != nil, Next: k.State.NextIndex,
		Revision: k.State.Revision, ConfigPlace: k.State.ConfigIndex, ConfigBytes: len(k.State.Config), Holder: k.State.LeaseHolderName,
		Fence: k.State.FencingToken, Windows: len(k.State.UsageWindows), Promised: k.Acceptor.Promised.Term, Accepted: k.Acceptor.Value != nil,
	}
	for _, m := range k.State.Members {
		out.Members = append(out.Members, member{fmt.Sprintf("%016x", m.ID), m.Name, m.Addr})
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(out)
}

type stateCheck struct{ dataDir }

// Run checks the state.
func (c stateCheck) Run() error {
	k, err := c.read()
	if err != nil {
		return err
	}
	if k.State.Config != nil {
		conf, digest, err := fleetconfig.DecodeWithDigest(k.State.Config)
		if err == nil {
			err = conf.Validate()
		}
		if err == nil && (digest != k.State.Digest || conf.Revision != k.State.Revision) {
			err = errors.New("the configuration is not the one that its digest and revision name")
		}
		if err != nil {
			return err
		}
	}
	fmt.Printf("places up to %d, revision %d, %d members: whole\n", k.State.NextIndex, k.State.Revision, len(k.State.Members))
	return nil
}

type stateExport struct {
	dataDir
	File string `help:"The backup to write; it must not be there yet." required:"" placeholder:"FILE"`
}

// Run writes a backup. It holds the keys of tenants, so that only its owner may read it.
func (c stateExport) Run() error {
	k, err := c.read()
	if err != nil {
		return err
	}
	f, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.Write(storage.EncodeBackup(&k.State)); err != nil {
		_ = f.Close() // the error of the write counts
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

type stateImport struct {
	Data string `help:"The new replica's data_directory, without a state." required:"" type:"path" placeholder:"DIR"`
	File string `help:"The backup." required:"" type:"existingfile" placeholder:"FILE"`
	Name string `help:"The machine's node_name." required:"" placeholder:"NAME"`
	Addr string `help:"Its ip_address with the first port of internal_port_range." required:"" placeholder:"IP:PORT"`
}

// Run makes a disk.
func (c stateImport) Run() error {
	if _, err := netip.ParseAddrPort(c.Addr); err != nil {
		return badConfig{fmt.Errorf("--addr: %w", err)}
	}
	b, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	s, err := storage.DecodeBackup(b)
	if err != nil {
		return badConfig{fmt.Errorf("%s: %w", c.File, err)}
	}
	if err := storage.RestoreBackup(c.Data, s, replog.Member{ID: rand.Uint64() | 1, Name: c.Name, Addr: c.Addr}); err != nil {
		return err
	}
	fmt.Printf("%s goes on from index %d, revision %d, as the only voter: start it, and the other replicas with empty directories\n",
		c.Name, s.NextIndex, s.Revision)
	return nil
}
